const MIB = 1_048_576;

/** The maximum number of interim answers (1xx) before an upstream's answer; they are not passed on. */
export const MAX_INTERIM_ANSWERS = 100;

/**
 * The largest answer that is accepted from an upstream. An upstream with eight slots that sends endless answers then
 * uses a fifth of the memory of the smallest VM, 350 MB.
 */
export const MAX_UPSTREAM_ANSWER_BYTES = 8 * MIB;

/**
 * The largest answer that is accepted from the store, and the largest message from a peer or an operator: many times
 * the rows of the target deployment.
 */
export const MAX_INTERNAL_BODY_BYTES = 16 * MIB;
