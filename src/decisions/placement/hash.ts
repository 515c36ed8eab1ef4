const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const HASH_RANGE = 2 ** 32;

/** Gets a 32-bit hash of a text: FNV-1a with a finaliser that spreads the hashes of similar texts. */
export function getHash(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash ^= text.charCodeAt(index);
    hash = Math.imul(hash, FNV_PRIME);
  }
  return finaliseHash(hash);
}

/** Combines two hashes into one. */
export function combineHashes(first: number, second: number): number {
  return finaliseHash(Math.imul(first ^ (second >>> 16), 0x9e3779b1) ^ second);
}

/** Maps a 32-bit hash to a number above 0 and below 1. */
export function getHashFraction(hash: number): number {
  return ((hash >>> 0) + 0.5) / HASH_RANGE;
}

/** Applies the 32-bit finaliser of MurmurHash3. */
function finaliseHash(hash: number): number {
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
