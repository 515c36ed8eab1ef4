import type * as entry from '../../model/entry/index.js';

/** Shares are stored with four digits, so that their sum differs from 1 by less than this. */
const MAX_SUM_ERROR = 0.01;

/** Whether stored shares are fractions of all objects: none is negative, and they add up to 1. */
export function isUsableShares({shares}: entry.StoredShares): boolean {
  const fractions = [...shares.values()];
  const sum = fractions.reduce((total, fraction) => total + fraction, 0);
  // The comparison is also false if a fraction is not a number.
  return (
    fractions.every(fraction => fraction >= 0) &&
    Math.abs(sum - 1) < MAX_SUM_ERROR
  );
}
