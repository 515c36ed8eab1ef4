import type * as bucketStates from './BucketState.js';

const MS_PER_SECOND = 1000;

/** Gets the most tokens that the bucket's shares can hold at the monotonic time `nowMs`. */
export function getCapacityTokens(
  state: bucketStates.BucketState,
  limits: bucketStates.BucketLimits,
  nowMs: number,
): number {
  const shareCount = countActiveShares(state, nowMs);
  return (shareCount * limits.burstTokens) / limits.slotCount;
}

/** Gets the rate at which the bucket's active shares refill it, in tokens per second. */
export function getActiveRatePerSecond(
  state: bucketStates.BucketState,
  limits: bucketStates.BucketLimits,
): number {
  const shareCount = countActiveShares(state, state.updatedAtMs);
  return (shareCount * limits.ratePerSecond) / limits.slotCount;
}

/**
 * Gets the next monotonic time in milliseconds at which a share starts or ends, or a loan or a grant ends; Infinity
 * if there is none.
 */
export function getNextChangeMs(state: bucketStates.BucketState): number {
  let nextMs = Infinity;
  for (const share of state.shares) {
    if (share.fromMs > state.updatedAtMs)
      nextMs = Math.min(nextMs, share.fromMs);
    nextMs = Math.min(nextMs, share.untilMs);
  }
  for (const lent of state.lent) nextMs = Math.min(nextMs, lent.deadlineMs);
  for (const grant of state.grants) nextMs = Math.min(nextMs, grant.deadlineMs);
  return nextMs;
}

/** Gets the number of tokens in grants that are not settled yet. */
export function getOutstandingTokens(state: bucketStates.BucketState): number {
  return state.grants.reduce((sum, grant) => sum + grant.tokens, 0);
}

/**
 * Advances the bucket to the monotonic time `nowMs`: refills it and applies each start and end of a share, a loan or a
 * grant in the order of time.
 */
export function advanceBucket(
  state: bucketStates.BucketState,
  limits: bucketStates.BucketLimits,
  nowMs: number,
): bucketStates.BucketState {
  let current = state;
  for (;;) {
    const boundaryMs = getNextChangeMs(current);
    if (boundaryMs > nowMs) return refill(current, limits, nowMs);
    current = applyBoundary(refill(current, limits, boundaryMs), boundaryMs);
    current = clipLevel(current, limits);
  }
}

/** Limits the level to what the active shares can hold, less the tokens in unsettled grants. */
export function clipLevel(
  state: bucketStates.BucketState,
  limits: bucketStates.BucketLimits,
): bucketStates.BucketState {
  const capacityTokens = getCapacityTokens(state, limits, state.updatedAtMs);
  const maxLevelTokens = Math.max(
    0,
    capacityTokens - getOutstandingTokens(state),
  );
  if (state.levelTokens <= maxLevelTokens) return state;
  return {...state, levelTokens: maxLevelTokens};
}

function countActiveShares(
  state: bucketStates.BucketState,
  atMs: number,
): number {
  let count = 0;
  for (const share of state.shares)
    if (share.fromMs <= atMs && atMs < share.untilMs) count += 1;
  return count;
}

function refill(
  state: bucketStates.BucketState,
  limits: bucketStates.BucketLimits,
  toMs: number,
): bucketStates.BucketState {
  const elapsedMs = toMs - state.updatedAtMs;
  if (elapsedMs <= 0) return state;
  const refillTokens =
    (getActiveRatePerSecond(state, limits) * elapsedMs) / MS_PER_SECOND;
  const maxLevelTokens =
    getCapacityTokens(state, limits, state.updatedAtMs) -
    getOutstandingTokens(state);
  const levelTokens = Math.max(
    state.levelTokens,
    Math.min(maxLevelTokens, state.levelTokens + refillTokens),
  );
  return {...state, levelTokens, updatedAtMs: toMs};
}

function applyBoundary(
  state: bucketStates.BucketState,
  atMs: number,
): bucketStates.BucketState {
  const returned = state.lent
    .filter(lent => lent.deadlineMs <= atMs)
    .map(lent => getControlledShare(lent.slotIndex, lent.deadlineMs));
  return {
    ...state,
    shares: [
      ...state.shares.filter(share => share.untilMs > atMs),
      ...returned,
    ],
    lent: state.lent.filter(lent => lent.deadlineMs > atMs),
    grants: state.grants.filter(grant => grant.deadlineMs > atMs),
  };
}

/** Gets a share that this process controls and that refills from the monotonic time `fromMs`. */
export function getControlledShare(
  slotIndex: number,
  fromMs: number,
): bucketStates.BucketShare {
  return {
    slotIndex,
    origin: 'controlled',
    lenderProcessId: '',
    fromMs,
    untilMs: Infinity,
  };
}
