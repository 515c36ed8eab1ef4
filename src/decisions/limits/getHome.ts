import * as crypto from 'node:crypto';

/** A process that can be the home of an organisation. */
export interface HomeCandidate {
  readonly processId: string;
  readonly slotIndex: number;
}

/**
 * Gets the candidate that gathers an organisation's shares, by rendezvous hashing over slots:
 * when one candidate leaves, only its own organisations move.
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
