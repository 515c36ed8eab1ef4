import * as errors from '../../model/errors/index.js';
import * as advancing from './advanceBucket.js';
import type * as bucketEvents from './BucketEvent.js';
import type * as bucketStates from './BucketState.js';

const MS_PER_SECOND = 1000;

/** Absorbs rounding, so that a bucket of exactly one token admits one request. */
const ROUNDING_TOKENS = 1e-9;

/** The next state of a bucket and what came of the event. */
export interface BucketDecision {
  readonly state: bucketStates.BucketState;
  readonly outcome: bucketEvents.BucketOutcome;
}

/** Decides one event of a bucket at the monotonic time `nowMs`. */
export function decideBucket(
  state: bucketStates.BucketState,
  limits: bucketStates.BucketLimits,
  event: bucketEvents.BucketEvent,
  nowMs: number,
): BucketDecision {
  const current = advancing.advanceBucket(state, limits, nowMs);
  switch (event.kind) {
    case 'admit':
      return admit(current, limits, event.tokens);
    case 'lend':
      return lend(current, limits, event);
    case 'borrow':
      return borrow(current, limits, event);
    case 'giveBack':
      return giveBack(current, limits, event.lenderProcessId);
    case 'takeBack':
      return takeBack(current, limits, event);
    case 'borrowerDied':
      return recall(current, event);
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
): BucketDecision {
  return {
    state: advancing.clipLevel(state, limits),
    outcome: {kind: 'done'},
  };
}

function admit(
  state: bucketStates.BucketState,
  limits: bucketStates.BucketLimits,
  tokens: number,
): BucketDecision {
  if (state.levelTokens + ROUNDING_TOKENS < tokens)
    return {state, outcome: refuse(state, limits, tokens)};
  const levelTokens = Math.max(0, state.levelTokens - tokens);
  return {
    state: {...state, levelTokens},
    outcome: {kind: 'granted', deadlineMs: state.countedToMs},
  };
}

function refuse(
  state: bucketStates.BucketState,
  limits: bucketStates.BucketLimits,
  tokens: number,
): bucketEvents.BucketOutcome {
  const missingTokens = tokens - state.levelTokens;
  const waitMs = (missingTokens / limits.ratePerSecond) * MS_PER_SECOND;
  return {kind: 'refused', retryAtMs: state.countedToMs + waitMs};
}

function lend(
  state: bucketStates.BucketState,
  limits: bucketStates.BucketLimits,
  request: Extract<bucketEvents.BucketEvent, {kind: 'lend'}>,
): BucketDecision {
  const {borrowerProcessId, loanSequence, deadlineMs} = request;
  if (state.grants.length > 0)
    return {state, outcome: {kind: 'moved', slotIndexes: [], levelTokens: 0}};
  const isLendable = (share: bucketStates.BucketShare) =>
    share.origin === 'controlled' && share.fromMs <= state.countedToMs;
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
    outcome: {kind: 'moved', slotIndexes, levelTokens},
  };
}

function borrow(
  state: bucketStates.BucketState,
  limits: bucketStates.BucketLimits,
  loan: Extract<bucketEvents.BucketEvent, {kind: 'borrow'}>,
): BucketDecision {
  if (loan.deadlineMs <= state.countedToMs)
    return {state, outcome: {kind: 'done'}};
  const kept = state.shares.filter(
    share => !loan.slotIndexes.includes(share.slotIndex),
  );
  const arrived = loan.slotIndexes.map(
    (slotIndex): bucketStates.BucketShare => ({
      slotIndex,
      origin: 'borrowed',
      lenderProcessId: loan.lenderProcessId,
      fromMs: state.countedToMs,
      untilMs: loan.deadlineMs,
    }),
  );
  const next = {
    ...state,
    levelTokens: state.levelTokens + loan.levelTokens,
    shares: [...kept, ...arrived],
  };
  return done(next, limits);
}

function giveBack(
  state: bucketStates.BucketState,
  limits: bucketStates.BucketLimits,
  lenderProcessId: string,
): BucketDecision {
  if (state.grants.length > 0)
    return {state, outcome: {kind: 'moved', slotIndexes: [], levelTokens: 0}};
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
      kind: 'moved',
      slotIndexes: leaving.map(share => share.slotIndex),
      levelTokens,
    },
  };
}

function takeBack(
  state: bucketStates.BucketState,
  limits: bucketStates.BucketLimits,
  event: Extract<bucketEvents.BucketEvent, {kind: 'takeBack'}>,
): BucketDecision {
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
        advancing.getControlledShare(lent.slotIndex, state.countedToMs),
      ),
    ],
  };
  return done(next, limits);
}

/** Brings the end of a dead borrower's loans forward. */
function recall(
  state: bucketStates.BucketState,
  event: Extract<bucketEvents.BucketEvent, {kind: 'borrowerDied'}>,
): BucketDecision {
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

/** Tokens must not outlive the shares that they come from. */
function grant(
  state: bucketStates.BucketState,
  limits: bucketStates.BucketLimits,
  request: Extract<bucketEvents.BucketEvent, {kind: 'grant'}>,
): BucketDecision {
  const {deadlineMs} = request;
  const lastingCount = state.shares.filter(
    share => share.fromMs <= state.countedToMs && share.untilMs >= deadlineMs,
  ).length;
  const lastingTokens = (lastingCount * limits.burstTokens) / limits.slotCount;
  const promisedTokens = advancing.getOutstandingTokens(state) + request.tokens;
  const isShort = state.levelTokens + ROUNDING_TOKENS < request.tokens;
  if (isShort || promisedTokens > lastingTokens + ROUNDING_TOKENS)
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
): BucketDecision {
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
): BucketDecision {
  const isControlled = (slotIndex: number) =>
    slots.some(slot => slot.slotIndex === slotIndex);
  const isKnown = (slotIndex: number) =>
    state.shares.some(share => share.slotIndex === slotIndex) ||
    state.lent.some(lent => lent.slotIndex === slotIndex);
  const added = slots.filter(slot => !isKnown(slot.slotIndex));
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
          Math.max(slot.usableFromMs, state.countedToMs),
        ),
      ),
    ],
  };
  return done(next, limits);
}
