/** Whether an upstream is left out of choices; times are monotonic, in milliseconds. */
export type Avoidance =
  | {readonly kind: 'none'}
  /** It shed a request. */
  | {readonly kind: 'shed'; readonly untilMs: number}
  /** A request failed there. */
  | {
      readonly kind: 'failed';
      readonly untilMs: number;
      readonly failedAtMs: number;
    };

/** Whether an upstream is left out at a moment. */
export function isAvoided(avoidance: Avoidance, nowMs: number): boolean {
  switch (avoidance.kind) {
    case 'none':
      return false;
    case 'shed':
    case 'failed':
      return nowMs < avoidance.untilMs;
  }
}
