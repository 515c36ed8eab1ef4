import * as crypto from 'node:crypto';

const HASH_RANGE = 2 ** 32;

/** Gets a caller's fixed position, from 0 up to 1, by which shifts and VMs of equal rank divide callers. */
export function getPosition(clientAddress: string): number {
  const digest = crypto.hash('sha256', clientAddress, 'buffer');
  return digest.readUInt32BE(0) / HASH_RANGE;
}
