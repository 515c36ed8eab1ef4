/**
 * Bounds how long new connections have waited to be accepted. The event loop accepts one connection in each turn,
 * whatever else the turn does, so under load they wait although timers fire in time.
 */
export class AcceptWatch {
  private readonly getNowMs: () => number;
  private emptyAtMs = 0;
  private isWatching = false;
  private hasAccepted = false;

  /** @param getNowMs Gets the monotonic time in milliseconds. */
  constructor(getNowMs: () => number) {
    this.getNowMs = getNowMs;
  }

  /** How long in milliseconds the next connection may have waited: 0 once a turn has accepted none. */
  get waitMs(): number {
    return this.isWatching ? this.getNowMs() - this.emptyAtMs : 0;
  }

  /** Notes a connection; gives how long in milliseconds it may have waited. */
  noteAccepted(): number {
    this.hasAccepted = true;
    if (this.isWatching) return this.waitMs;
    this.isWatching = true;
    this.emptyAtMs = this.getNowMs();
    setImmediate(() => this.endTurn());
    return 0;
  }

  /** A turn without a new connection has found the queue empty. */
  private endTurn(): void {
    this.isWatching = this.hasAccepted;
    this.hasAccepted = false;
    if (this.isWatching) setImmediate(() => this.endTurn());
  }
}
