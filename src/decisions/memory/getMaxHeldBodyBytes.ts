import type * as bodies from '../bodies/index.js';
import * as memory from './processMemory.js';

/** The memory in bytes of the smallest VM on which bodies may take the most. */
const FULL_MEMORY_BYTES = 350_000_000;

/** Unused buffers that V8 holds at most before it collects them, in bytes: bodies that are dropped or discarded. */
const UNUSED_BUFFER_BYTES = 64 * memory.MIB;

/** What a process takes while it receives bodies, without those that it holds, in bytes. */
const RESERVED_BYTES = memory.BASE_BYTES + UNUSED_BUFFER_BYTES;

/** The most bytes that the bodies of one direction may take on any VM. */
export const MAX_HELD_BODY_BYTES = 64 * memory.MIB;

/**
 * Gets how many bytes the bodies that a process receives or relays may take in one direction. It handles the load of
 * callers that upload large bodies, and of upstreams that send large answers, all at once.
 *
 * @param memoryBytes The memory of the VM in bytes.
 */
export function getMaxHeldBodyBytes(
  direction: bodies.BodyDirection,
  memoryBytes: number,
): number {
  const part =
    (memoryBytes - RESERVED_BYTES) / (FULL_MEMORY_BYTES - RESERVED_BYTES);
  const partBytes = Math.floor(MAX_HELD_BODY_BYTES * part);
  return Math.min(
    MAX_HELD_BODY_BYTES,
    Math.max(getMinHeldBodyBytes(direction), partBytes),
  );
}

/**
 * Gets the smallest bound in bytes, which admits one body of the largest size: 1 MiB for a request, unless the operator
 * sets another limit, and 8 MiB for an answer. The pieces of a body keep buffers of up to twice their size in memory, and space is reserved for more.
 */
function getMinHeldBodyBytes(direction: bodies.BodyDirection): number {
  switch (direction) {
    case 'request':
      return 3 * memory.MIB;
    case 'answer':
      return 17 * memory.MIB;
  }
}
