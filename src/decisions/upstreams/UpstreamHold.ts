/**
 * What one start of an upstream has told this process about new requests.
 *
 * Answers two load patterns: upstreams that shut down while their rows still say otherwise, and overloaded upstreams
 * that would spend their time on rejecting requests.
 */
export type UpstreamHold =
  | {readonly kind: 'none'}
  /** The upstream wants no requests before the monotonic time `untilMs`, in milliseconds. */
  | {readonly kind: 'paused'; readonly untilMs: number}
  /** The upstream shuts down; it gets no more requests. */
  | {readonly kind: 'leaving'};

/** The longest pause that an upstream may ask for; a longer one is taken for an error. */
export const MAX_PAUSE_MS = 600_000;

/** The hold on an upstream from which nothing was heard. */
export const NO_HOLD: UpstreamHold = {kind: 'none'};

/**
 * Gets the hold after an upstream asked for a pause. A pause never ends an earlier one sooner; one over MAX_PAUSE_MS
 * has no effect.
 */
export function extendPause(
  hold: UpstreamHold,
  pauseMs: number,
  nowMs: number,
): UpstreamHold {
  if (!isPauseAccepted(pauseMs)) return hold;
  const untilMs = nowMs + pauseMs;
  switch (hold.kind) {
    case 'none':
      return {kind: 'paused', untilMs};
    case 'paused':
      return untilMs > hold.untilMs ? {kind: 'paused', untilMs} : hold;
    case 'leaving':
      return hold;
  }
}

/** Whether a pause is one that an upstream may ask for. */
export function isPauseAccepted(pauseMs: number): boolean {
  return pauseMs >= 0 && pauseMs <= MAX_PAUSE_MS;
}

/** Whether an upstream must get no requests at the monotonic time `nowMs`, in milliseconds. */
export function isHeld(hold: UpstreamHold, nowMs: number): boolean {
  switch (hold.kind) {
    case 'none':
      return false;
    case 'paused':
      return nowMs < hold.untilMs;
    case 'leaving':
      return true;
  }
}

/**
 * Gets the monotonic time in milliseconds at which the first pause among upstreams ends. Undefined when an upstream
 * is not held, and when none of them is paused.
 */
export function getFirstPauseEndMs(
  holds: Iterable<UpstreamHold>,
  nowMs: number,
): number | undefined {
  let firstEndMs: number | undefined;
  for (const hold of holds) {
    if (!isHeld(hold, nowMs)) return undefined;
    if (hold.kind === 'paused')
      firstEndMs = Math.min(firstEndMs ?? Infinity, hold.untilMs);
  }
  return firstEndMs;
}
