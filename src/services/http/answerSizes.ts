const MIB = 1_048_576;

/**
 * The largest answer in bytes that is taken from an upstream: one with eight slots that never ends its answers then
 * takes a fifth of the memory of the smallest VM, 350 MB.
 */
export const MAX_UPSTREAM_ANSWER_BYTES = 8 * MIB;

/** The largest answer in bytes that is taken from the store or a peer: many times the rows of the target size. */
export const MAX_INTERNAL_ANSWER_BYTES = 16 * MIB;
