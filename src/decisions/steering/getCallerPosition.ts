import * as crypto from 'node:crypto';

const HASH_RANGE = 2 ** 32;

/**
 * Gets the position of a caller, at least 0 and below 1, which is always the same for one address. It determines
 * which callers a shift moves, and how callers are spread over VMs of equal rank.
 */
export function getCallerPosition(clientAddress: string): number {
  const digest = crypto.hash('sha256', clientAddress, 'buffer');
  return digest.readUInt32BE(0) / HASH_RANGE;
}
