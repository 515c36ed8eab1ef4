import type * as net from 'node:net';
import type * as listeners from './HttpListener.js';
import * as barriers from './ReadBarrier.js';

/** How often in milliseconds a marker joins the queue while it does not empty. */
const MARKER_INTERVAL_MS = 50;

/** The most markers in the queue: those that a full queue drops are sent again after seconds. */
const MAX_MARKERS = 40;

interface Marker {
  readonly socket: net.Socket;
  readonly sentAtMs: number;
}

/**
 * Bounds how long new connections have waited to be accepted. The event loop accepts one connection in each turn,
 * whatever else the turn does, so under load they wait although timers fire in time. While the queue does not empty,
 * the process connects to itself now and then: what is accepted after such a marker came after it was sent.
 */
export class AcceptWatch {
  private readonly listener: listeners.HttpListener;
  private readonly getNowMs: () => number;
  private readonly getArrivalMs: () => number;
  private readonly barrier = new barriers.ReadBarrier();
  private readonly markers = new Set<Marker>();
  private readonly arrivals = new WeakMap<net.Socket, number>();
  private boundMs = 0;
  private markedAtMs = 0;
  private isWatching = false;
  private hasAccepted = false;
  private isClosed = false;

  /**
   * @param listener Whose connections are watched; markers connect to it.
   * @param getNowMs Gets the monotonic time in milliseconds.
   * @param getArrivalMs Gets the earliest time at which what is read now may have arrived, in milliseconds.
   */
  constructor(
    listener: listeners.HttpListener,
    getNowMs: () => number,
    getArrivalMs: () => number,
  ) {
    this.listener = listener;
    this.getNowMs = getNowMs;
    this.getArrivalMs = getArrivalMs;
    listener.onConnection(socket => this.accept(socket));
  }

  /** How long in milliseconds the next connection may have waited: 0 once a turn has accepted none. */
  get waitMs(): number {
    return this.isWatching ? this.getNowMs() - this.boundMs : 0;
  }

  /** Gets since when a connection may have waited, while what came with it is read; later nothing. */
  getConnectionArrivalMs(socket: net.Socket): number | undefined {
    return this.arrivals.get(socket);
  }

  /** Ends all markers, and sends none from now on: a listener that is closed has no address. */
  close(): void {
    this.isClosed = true;
    for (const {socket} of this.markers) socket.destroy();
    this.markers.clear();
  }

  private accept(socket: net.Socket): void {
    this.hasAccepted = true;
    if (!this.isWatching) {
      this.isWatching = true;
      this.boundMs = this.getArrivalMs();
      this.markedAtMs = this.getNowMs();
      setImmediate(() => this.endTurn());
    }
    if (this.takeMarker(socket)) return;
    this.arrivals.set(socket, this.boundMs);
    // What came before the connection was accepted is read in the next turn.
    void this.barrier.wait().then(() => this.arrivals.delete(socket));
  }

  /** Ends the marker whose connection was accepted; tells whether it was one. */
  private takeMarker(socket: net.Socket): boolean {
    for (const marker of this.markers) {
      if (!isFarEnd(socket, marker.socket)) continue;
      this.markers.delete(marker);
      marker.socket.destroy();
      socket.destroy();
      this.boundMs = Math.max(this.boundMs, marker.sentAtMs);
      return true;
    }
    return false;
  }

  /** A turn without a new connection has found the queue empty. */
  private endTurn(): void {
    this.isWatching = this.hasAccepted;
    this.hasAccepted = false;
    if (!this.isWatching) return;
    this.mark();
    setImmediate(() => this.endTurn());
  }

  private mark(): void {
    const nowMs = this.getNowMs();
    if (nowMs < this.markedAtMs + MARKER_INTERVAL_MS) return;
    if (this.isClosed || this.markers.size >= MAX_MARKERS) return;
    this.markedAtMs = nowMs;
    const marker = {socket: this.listener.connect(), sentAtMs: nowMs};
    this.markers.add(marker);
    // A marker that finds no room in the queue says nothing.
    marker.socket.on('error', () => this.markers.delete(marker));
  }
}

/** Whether an accepted connection is the far end of a marker; a caller elsewhere may have the same port. */
function isFarEnd(accepted: net.Socket, marker: net.Socket): boolean {
  return (
    accepted.remotePort === marker.localPort &&
    accepted.remoteAddress === marker.localAddress
  );
}
