const MIB = 1_048_576;

/**
 * The largest answer that is accepted from an upstream. An upstream with eight slots that sends endless answers then
 * uses a fifth of the memory of the smallest VM, 350 MB.
 */
export const MAX_UPSTREAM_ANSWER_BYTES = 8 * MIB;

/** The largest answer that is accepted from the store or a peer: many times the rows of the target deployment. */
export const MAX_INTERNAL_ANSWER_BYTES = 16 * MIB;
