/** A mebibyte in bytes. */
export const MIB = 1_048_576;

/**
 * What a process takes without any request, in bytes: the code of Node.js and the heap that it fills before it collects
 * garbage.
 */
export const BASE_BYTES = 110_000_000;
