/** Whether and why a process temporarily sends no requests to an upstream; times are monotonic, in milliseconds. */
export type Avoidance =
  | {readonly kind: 'none'}
  /** The upstream rejected a request because of its load. */
  | {readonly kind: 'shed'; readonly untilMs: number}
  /** A request to the upstream failed. */
  | {
      readonly kind: 'failed';
      readonly untilMs: number;
      readonly failedAtMs: number;
    };

/** Whether an upstream is avoided at the monotonic time `nowMs`. */
export function isAvoided(avoidance: Avoidance, nowMs: number): boolean {
  switch (avoidance.kind) {
    case 'none':
      return false;
    case 'shed':
    case 'failed':
      return nowMs < avoidance.untilMs;
  }
}
