/** A connection for which memory is held. */
export interface HoldingConnection {
  /** Closes the connection at once and frees all that is held for it. */
  closeUnread(): void;
}

/** What was held for a connection that was closed. */
export interface ClosedUnread {
  /** The bytes that were held for all connections together. */
  readonly heldBytes: number;
}

interface Holding {
  readonly connection: HoldingConnection;
  readonly bytes: number;
}

/**
 * Bounds what all connections of a process hold together until their callers take it: answers that the system has not
 * accepted, and requests that are not parsed until it has. Above the bound, the connection is closed that has held
 * something for longest.
 */
export class AnswerMemory {
  private readonly maxBytes: number;
  private readonly onClosed: (closed: ClosedUnread) => void;

  /** Ordered by the time at which each object was first held. */
  private readonly holdings = new Map<object, Holding>();
  private totalBytes = 0;

  /**
   * @param maxBytes The most bytes that are held for all connections.
   * @param onClosed Called for each connection that is closed.
   */
  constructor(
    maxBytes: number,
    onClosed: (closed: ClosedUnread) => void = () => {},
  ) {
    this.maxBytes = maxBytes;
    this.onClosed = onClosed;
  }

  /** The bytes that are held for all connections. */
  get heldBytes(): number {
    return this.totalBytes;
  }

  /** The number of connections for which something is held. */
  get connectionCount(): number {
    const connections = [...this.holdings.values()].map(
      holding => holding.connection,
    );
    return new Set(connections).size;
  }

  /** Sets what an answer, or the unparsed input of a connection, takes; may close that connection or another one. */
  set(held: object, connection: HoldingConnection, bytes: number): void {
    this.totalBytes += bytes - (this.holdings.get(held)?.bytes ?? 0);
    this.holdings.set(held, {connection, bytes});
    while (this.totalBytes > this.maxBytes) this.closeLongestUnread();
  }

  /** Forgets what is no longer held. */
  remove(held: object): void {
    const holding = this.holdings.get(held);
    if (holding === undefined) return;
    this.totalBytes -= holding.bytes;
    this.holdings.delete(held);
  }

  private closeLongestUnread(): void {
    const {heldBytes} = this;
    for (const [held, {connection}] of this.holdings) {
      connection.closeUnread();
      this.remove(held);
      this.onClosed({heldBytes});
      return;
    }
  }
}
