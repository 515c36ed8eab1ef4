import type * as net from 'node:net';
import type * as listeners from './HttpListener.js';
import * as barriers from './ReadBarrier.js';

/** How often a probe connection is opened while the accept queue does not empty. */
const PROBE_INTERVAL_MS = 50;

/** Limits the probes in the queue: the system retries connections that a full queue drops only after seconds. */
const MAX_PROBES = 40;

interface Probe {
  readonly socket: net.Socket;
  readonly sentAtMs: number;
}

/**
 * Estimates the longest time that new connections have waited in the accept queue. The event loop accepts one
 * connection in each turn, however long the turn takes, so under load connections wait although timers fire on time.
 * While the queue does not empty, the process opens probe connections to itself at intervals: a connection that is
 * accepted after a probe arrived after the probe was sent.
 */
export class AcceptQueueMonitor {
  private readonly listener: listeners.HttpListener;
  private readonly getNowMs: () => number;
  private readonly getReadArrivalMs: () => number;
  private readonly readBarrier = new barriers.ReadBarrier();
  private readonly probes = new Set<Probe>();
  private readonly arrivalsMs = new WeakMap<net.Socket, number>();
  private earliestArrivalMs = 0;
  private lastProbeAtMs = 0;
  private isQueueBusy = false;
  private hasAcceptedInTurn = false;
  private isClosed = false;

  /**
   * @param listener The listener whose accept queue is monitored; probes connect to it.
   * @param getNowMs Gets the monotonic time in milliseconds.
   * @param getReadArrivalMs Gets the earliest monotonic time in milliseconds at which data read now may have arrived.
   */
  constructor(
    listener: listeners.HttpListener,
    getNowMs: () => number,
    getReadArrivalMs: () => number,
  ) {
    this.listener = listener;
    this.getNowMs = getNowMs;
    this.getReadArrivalMs = getReadArrivalMs;
    listener.onConnection(socket => this.handleConnection(socket));
  }

  /** The longest time in milliseconds that the next connection may have waited; 0 after a turn that accepted none. */
  get waitMs(): number {
    return this.isQueueBusy ? this.getNowMs() - this.earliestArrivalMs : 0;
  }

  /**
   * Gets the earliest monotonic time in milliseconds at which the first request of a connection may have arrived;
   * undefined for later requests, which may have been sent long after it, and after the turn in which the data that
   * arrived with the connection is read.
   */
  takeFirstArrivalMs(socket: net.Socket): number | undefined {
    const arrivalMs = this.arrivalsMs.get(socket);
    this.arrivalsMs.delete(socket);
    return arrivalMs;
  }

  /** Closes all probes and opens no more, because a closed listener has no address to connect to. */
  close(): void {
    this.isClosed = true;
    for (const {socket} of this.probes) socket.destroy();
    this.probes.clear();
  }

  private handleConnection(socket: net.Socket): void {
    this.hasAcceptedInTurn = true;
    if (!this.isQueueBusy) {
      this.isQueueBusy = true;
      this.earliestArrivalMs = this.getReadArrivalMs();
      this.lastProbeAtMs = this.getNowMs();
      setImmediate(() => this.endTurn());
    }
    if (this.consumeProbe(socket)) return;
    this.arrivalsMs.set(socket, this.earliestArrivalMs);
    // Data that arrived before the connection was accepted is read in the next turn.
    void this.readBarrier.wait().then(() => this.arrivalsMs.delete(socket));
  }

  /** Closes the probe that an accepted connection belongs to. Returns whether there was one. */
  private consumeProbe(socket: net.Socket): boolean {
    for (const probe of this.probes) {
      if (!isSameConnection(socket, probe.socket)) continue;
      this.probes.delete(probe);
      probe.socket.destroy();
      socket.destroy();
      this.earliestArrivalMs = Math.max(this.earliestArrivalMs, probe.sentAtMs);
      return true;
    }
    return false;
  }

  /** Ends an event loop turn; if the turn accepted no connection, the queue is empty. */
  private endTurn(): void {
    this.isQueueBusy = this.hasAcceptedInTurn;
    this.hasAcceptedInTurn = false;
    if (!this.isQueueBusy) return;
    this.sendProbe();
    setImmediate(() => this.endTurn());
  }

  private sendProbe(): void {
    const nowMs = this.getNowMs();
    if (nowMs < this.lastProbeAtMs + PROBE_INTERVAL_MS) return;
    if (this.isClosed || this.probes.size >= MAX_PROBES) return;
    this.lastProbeAtMs = nowMs;
    const probe = {socket: this.listener.connect(), sentAtMs: nowMs};
    this.probes.add(probe);
    // A probe that fails, for example because the queue is full, gives no estimate.
    probe.socket.on('error', () => this.probes.delete(probe));
  }
}

/** Whether an accepted connection is a probe's. Compares addresses, too: a remote caller may have the same port. */
function isSameConnection(accepted: net.Socket, probe: net.Socket): boolean {
  return (
    accepted.remotePort === probe.localPort &&
    accepted.remoteAddress === probe.localAddress
  );
}
