/** The shortest time in milliseconds between two log lines about the same thing. */
const LOG_INTERVAL_MS = 60_000;

/** Limits warnings that would be logged again with each read, such as those about an unreadable row. */
export class RepeatedWarnings {
  private readonly loggedAtMs = new Map<string, number>();

  /** Returns whether a warning about `key` is to be logged, and counts it as logged. */
  isDue(key: string, nowMs: number): boolean {
    const loggedAtMs = this.loggedAtMs.get(key) ?? -Infinity;
    if (nowMs - loggedAtMs < LOG_INTERVAL_MS) return false;
    this.loggedAtMs.set(key, nowMs);
    return true;
  }
}
