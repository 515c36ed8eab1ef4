import type * as entry from '../../model/entry/index.js';

/** How long an upstream that said it leaves may go on serving. */
const RETENTION_MS = 600_000;

/** The starts of upstreams that said they leave, to be told to VMs that start. */
export class LeavingStarts {
  private readonly expiresAtMsByStart = new Map<entry.UpstreamStart, number>();

  /** Records a start, and removes those recorded too long ago. */
  add(start: entry.UpstreamStart, nowMs: number): void {
    for (const [recorded, expiresAtMs] of this.expiresAtMsByStart)
      if (expiresAtMs <= nowMs || recorded.upstreamId === start.upstreamId)
        this.expiresAtMsByStart.delete(recorded);
    this.expiresAtMsByStart.set(start, nowMs + RETENTION_MS);
  }

  /** Gets the starts that may still be serving at the monotonic time `nowMs`, in milliseconds. */
  getAll(nowMs: number): readonly entry.UpstreamStart[] {
    return [...this.expiresAtMsByStart]
      .filter(([, expiresAtMs]) => expiresAtMs > nowMs)
      .map(([start]) => start);
  }
}
