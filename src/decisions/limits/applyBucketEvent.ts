import * as errors from '../../model/errors/index.js';
import * as advancing from './advanceBucket.js';
import type * as bucketEvents from './BucketEvent.js';
import type * as bucketStates from './BucketState.js';

const MS_PER_SECOND = 1000;

/** Tolerance for rounding errors, so that a bucket of exactly one token admits one request. */
const ROUNDING_TOKENS = 1e-9;

/** The state of a bucket after an event, and the outcome of the event. */
export interface BucketUpdate {
  readonly state: bucketStates.BucketState;
  readonly outcome: bucketEvents.BucketOutcome;
}

/** Advances a bucket to the monotonic time `nowMs` in milliseconds and applies an event to it. */
export function applyBucketEvent(
  state: bucketStates.BucketState,
  limits: bucketStates.BucketLimits,
  event: bucketEvents.BucketEvent,
  nowMs: number,
): BucketUpdate {
  const current = advancing.advanceBucket(state, limits, nowMs);
  switch (event.kind) {
    case 'admit':
      return admit(current, limits, event.tokens);
    case 'lend':
      return lend(current, limits, event);
    case 'borrow':
      return borrow(current, limits, event);
    case 'returnLoan':
      return returnLoan(current, limits, event.lenderProcessId);
    case 'reclaimLoan':
      return reclaimLoan(current, limits, event);
    case 'borrowerDied':
      return shortenLoans(current, event);
    case 'grant':
      return grant(current, limits, event);
    case 'settle':
      return settle(current, limits, event.grantId, event.unspentTokens);
    case 'control':
      return control(current, limits, event.slots);
    default:
      return errors.throwUnreachable(event);
  }
}

function done(
  state: bucketStates.BucketState,
  limits: bucketStates.BucketLimits,
): BucketUpdate {
  return {
    state: advancing.clipLevel(state, limits),
    outcome: {kind: 'done'},
  };
}

function admit(
  state: bucketStates.BucketState,
  limits: bucketStates.BucketLimits,
  tokens: number,
): BucketUpdate {
  if (state.levelTokens + ROUNDING_TOKENS < tokens)
    return {state, outcome: refuse(state, limits, tokens)};
  const levelTokens = Math.max(0, state.levelTokens - tokens);
  return {
    state: {...state, levelTokens},
    outcome: {kind: 'granted', deadlineMs: state.updatedAtMs},
  };
}

function refuse(
  state: bucketStates.BucketState,
  limits: bucketStates.BucketLimits,
  tokens: number,
): bucketEvents.BucketOutcome {
  return {kind: 'refused', retryAtMs: getRetryAtMs(state, limits, tokens)};
}

/** Gets the monotonic time in milliseconds at which the bucket may hold `tokens`, if it gets no other request. */
function getRetryAtMs(
  state: bucketStates.BucketState,
  limits: bucketStates.BucketLimits,
  tokens: number,
): number {
  const missingTokens = tokens - state.levelTokens;
  const ratePerSecond = advancing.getActiveRatePerSecond(state, limits);
  if (missingTokens > 0 && ratePerSecond > 0)
    return state.updatedAtMs + (missingTokens / ratePerSecond) * MS_PER_SECOND;
  const nextChangeMs = advancing.getNextChangeMs(state);
  return nextChangeMs < Infinity
    ? nextChangeMs
    : state.updatedAtMs + (tokens / limits.ratePerSecond) * MS_PER_SECOND;
}

function lend(
  state: bucketStates.BucketState,
  limits: bucketStates.BucketLimits,
  request: Extract<bucketEvents.BucketEvent, {kind: 'lend'}>,
): BucketUpdate {
  const {borrowerProcessId, loanSequence, deadlineMs} = request;
  if (state.grants.length > 0)
    return {
      state,
      outcome: {kind: 'sharesMoved', slotIndexes: [], levelTokens: 0},
    };
  const isLendable = (share: bucketStates.BucketShare) =>
    share.origin === 'controlled' && share.fromMs <= state.updatedAtMs;
  const leaving = state.shares.filter(isLendable);
  const renewed = state.lent.filter(
    lent => lent.borrowerProcessId === borrowerProcessId,
  );
  const slotIndexes = [...leaving, ...renewed].map(share => share.slotIndex);
  const shareTokens = (leaving.length * limits.burstTokens) / limits.slotCount;
  const levelTokens = Math.min(state.levelTokens, shareTokens);
  const next = {
    ...state,
    levelTokens: state.levelTokens - levelTokens,
    shares: state.shares.filter(share => !isLendable(share)),
    lent: [
      ...state.lent.filter(lent => !slotIndexes.includes(lent.slotIndex)),
      ...slotIndexes.map(slotIndex => ({
        slotIndex,
        borrowerProcessId,
        loanSequence,
        deadlineMs,
      })),
    ],
  };
  return {
    state: advancing.clipLevel(next, limits),
    outcome: {kind: 'sharesMoved', slotIndexes, levelTokens},
  };
}

function borrow(
  state: bucketStates.BucketState,
  limits: bucketStates.BucketLimits,
  loan: Extract<bucketEvents.BucketEvent, {kind: 'borrow'}>,
): BucketUpdate {
  if (loan.deadlineMs <= state.updatedAtMs)
    return {state, outcome: {kind: 'done'}};
  const remainingShares = state.shares.filter(
    share => !loan.slotIndexes.includes(share.slotIndex),
  );
  const borrowedShares = loan.slotIndexes.map(
    (slotIndex): bucketStates.BucketShare => ({
      slotIndex,
      origin: 'borrowed',
      lenderProcessId: loan.lenderProcessId,
      fromMs: state.updatedAtMs,
      untilMs: loan.deadlineMs,
    }),
  );
  const next = {
    ...state,
    levelTokens: state.levelTokens + loan.levelTokens,
    shares: [...remainingShares, ...borrowedShares],
  };
  return done(next, limits);
}

function returnLoan(
  state: bucketStates.BucketState,
  limits: bucketStates.BucketLimits,
  lenderProcessId: string,
): BucketUpdate {
  if (state.grants.length > 0)
    return {
      state,
      outcome: {kind: 'sharesMoved', slotIndexes: [], levelTokens: 0},
    };
  const leaving = state.shares.filter(
    share => share.lenderProcessId === lenderProcessId,
  );
  const shareTokens = limits.burstTokens / limits.slotCount;
  const fraction =
    state.shares.length === 0 ? 0 : leaving.length / state.shares.length;
  const levelTokens = Math.min(
    state.levelTokens * fraction,
    leaving.length * shareTokens,
  );
  const next = {
    ...state,
    levelTokens: state.levelTokens - levelTokens,
    shares: state.shares.filter(share => !leaving.includes(share)),
  };
  return {
    state: advancing.clipLevel(next, limits),
    outcome: {
      kind: 'sharesMoved',
      slotIndexes: leaving.map(share => share.slotIndex),
      levelTokens,
    },
  };
}

function reclaimLoan(
  state: bucketStates.BucketState,
  limits: bucketStates.BucketLimits,
  event: Extract<bucketEvents.BucketEvent, {kind: 'reclaimLoan'}>,
): BucketUpdate {
  const returned = state.lent.filter(
    lent =>
      lent.borrowerProcessId === event.borrowerProcessId &&
      lent.loanSequence <= event.loanSequence,
  );
  if (returned.length === 0) return {state, outcome: {kind: 'done'}};
  const shareTokens = (returned.length * limits.burstTokens) / limits.slotCount;
  const next = {
    ...state,
    levelTokens: state.levelTokens + Math.min(event.levelTokens, shareTokens),
    lent: state.lent.filter(lent => !returned.includes(lent)),
    shares: [
      ...state.shares,
      ...returned.map(lent =>
        advancing.getControlledShare(lent.slotIndex, state.updatedAtMs),
      ),
    ],
  };
  return done(next, limits);
}

/** Ends the loans to a dead borrower as soon as the tokens that it granted have expired. */
function shortenLoans(
  state: bucketStates.BucketState,
  event: Extract<bucketEvents.BucketEvent, {kind: 'borrowerDied'}>,
): BucketUpdate {
  const lent = state.lent.map(entry =>
    entry.borrowerProcessId === event.borrowerProcessId
      ? {
          ...entry,
          deadlineMs: Math.min(entry.deadlineMs, event.grantsDeadlineMs),
        }
      : entry,
  );
  return {state: {...state, lent}, outcome: {kind: 'done'}};
}

/** Grants no more tokens than the shares that last until the deadline can hold: tokens must not outlive shares. */
function grant(
  state: bucketStates.BucketState,
  limits: bucketStates.BucketLimits,
  request: Extract<bucketEvents.BucketEvent, {kind: 'grant'}>,
): BucketUpdate {
  const {deadlineMs} = request;
  const eligibleShareCount = state.shares.filter(
    share => share.fromMs <= state.updatedAtMs && share.untilMs >= deadlineMs,
  ).length;
  const eligibleTokens =
    (eligibleShareCount * limits.burstTokens) / limits.slotCount;
  const outstandingTokens =
    advancing.getOutstandingTokens(state) + request.tokens;
  const isLevelTooLow = state.levelTokens + ROUNDING_TOKENS < request.tokens;
  if (isLevelTooLow || outstandingTokens > eligibleTokens + ROUNDING_TOKENS)
    return {state, outcome: refuse(state, limits, request.tokens)};
  const outstanding = {
    grantId: request.grantId,
    tokens: request.tokens,
    deadlineMs,
  };
  const next = {
    ...state,
    levelTokens: Math.max(0, state.levelTokens - request.tokens),
    grants: [...state.grants, outstanding],
  };
  return {state: next, outcome: {kind: 'granted', deadlineMs}};
}

function settle(
  state: bucketStates.BucketState,
  limits: bucketStates.BucketLimits,
  grantId: string,
  unspentTokens: number,
): BucketUpdate {
  const settled = state.grants.find(entry => entry.grantId === grantId);
  if (settled === undefined) return {state, outcome: {kind: 'done'}};
  const returnedTokens = Math.min(unspentTokens, settled.tokens);
  const next = {
    ...state,
    levelTokens: state.levelTokens + returnedTokens,
    grants: state.grants.filter(entry => entry !== settled),
  };
  return done(next, limits);
}

function control(
  state: bucketStates.BucketState,
  limits: bucketStates.BucketLimits,
  slots: readonly bucketEvents.ControlledSlot[],
): BucketUpdate {
  const isControlled = (slotIndex: number) =>
    slots.some(slot => slot.slotIndex === slotIndex);
  const isInBucket = (slotIndex: number) =>
    state.shares.some(share => share.slotIndex === slotIndex) ||
    state.lent.some(lent => lent.slotIndex === slotIndex);
  const added = slots.filter(slot => !isInBucket(slot.slotIndex));
  const unusedCount = added.filter(slot => slot.isUnused).length;
  const addedTokens = (unusedCount * limits.burstTokens) / limits.slotCount;
  const next = {
    ...state,
    levelTokens: state.levelTokens + addedTokens,
    lent: state.lent.filter(lent => isControlled(lent.slotIndex)),
    shares: [
      ...state.shares.filter(
        share => share.origin === 'borrowed' || isControlled(share.slotIndex),
      ),
      ...added.map(slot =>
        advancing.getControlledShare(
          slot.slotIndex,
          Math.max(slot.usableFromMs, state.updatedAtMs),
        ),
      ),
    ],
  };
  return done(next, limits);
}
