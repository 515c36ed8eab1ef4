import * as memory from './processMemory.js';

/** The part of the rest of the memory for what callers have not taken yet. */
const ANSWER_RATIO = 0.25;

/** The smallest bound in bytes: two answers of the largest size that is accepted from an upstream. */
const MIN_BYTES = 16 * memory.MIB;

/**
 * Gets how many bytes a process may hold for callers who have not taken their answers. It handles the load of clients
 * that pipeline requests and do not read.
 *
 * @param memoryBytes The memory of the VM in bytes.
 */
export function getMaxAnswerBytes(memoryBytes: number): number {
  const partBytes = (memoryBytes - memory.BASE_BYTES) * ANSWER_RATIO;
  return Math.floor(Math.max(MIN_BYTES, partBytes));
}
