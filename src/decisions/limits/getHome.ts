import * as crypto from 'node:crypto';

/** A process that can be the home of organisations: the one that borrows all shares of their limits. */
export interface HomeCandidate {
  readonly processId: string;
  readonly slotIndex: number;
}

/**
 * Gets the home of an organisation by rendezvous hashing over slot indexes: when a candidate leaves, only the
 * organisations whose home it was get another one. Undefined when there is no candidate.
 */
export function getHome<T extends HomeCandidate>(
  organisationId: string,
  candidates: readonly T[],
): T | undefined {
  let best: T | undefined;
  let bestScore = '';
  for (const candidate of candidates) {
    const score = getScore(organisationId, candidate.slotIndex);
    if (best !== undefined && score <= bestScore) continue;
    best = candidate;
    bestScore = score;
  }
  return best;
}

function getScore(organisationId: string, slotIndex: number): string {
  return crypto.hash('sha256', `${organisationId}\n${slotIndex}`);
}
