import * as pureRand from 'pure-rand';
import type * as kernel from '../../../src/kernel/index.js';
import * as services from '../../../src/services/index.js';
import * as queues from './EventQueue.js';
import * as nodes from './VirtualNode.js';

const RANDOM_VALUE_COUNT = 2 ** 31;

/** Loss and delay of messages between nodes. */
export interface NetworkOptions {
  /** The fraction of messages that are lost, from 0 to 1. */
  readonly lossFraction: number;

  readonly minDelayMs: number;
  readonly maxDelayMs: number;

  /** The fraction of messages that are delayed by up to `maxExtraDelayMs` more. */
  readonly extraDelayFraction: number;
  readonly maxExtraDelayMs: number;
}

/** A network without loss and with short delays. */
export const RELIABLE_NETWORK: NetworkOptions = {
  lossFraction: 0,
  minDelayMs: 1,
  maxDelayMs: 20,
  extraDelayFraction: 0,
  maxExtraDelayMs: 0,
};

/** How the platform fails, for one node or for all. */
export type PlatformFault = 'none' | 'refuse' | 'hang' | 'loseAnswers';

/** Runs the control planes of several daemons in one process, with virtual time and with random numbers from a seed. */
export class Simulation {
  private readonly queue = new queues.EventQueue();
  private readonly random: pureRand.RandomGenerator;
  private readonly nodesByAddress = new Map<string, nodes.VirtualNode>();
  private readonly cutLinks = new Set<string>();
  private readonly platformFaults = new Map<string, PlatformFault>();
  private nextSequence = 0;
  private timeMs = 1_000_000;

  /** The platform that all nodes share. */
  readonly platform = new services.EmbeddedPlatform();

  /** The loss and delay of messages that are sent from now on. */
  network: NetworkOptions = RELIABLE_NETWORK;

  /** @param seed Seeds all random numbers of the simulation. */
  constructor(seed: number) {
    this.random = pureRand.xoroshiro128plus(seed);
  }

  /** Returns the virtual time in milliseconds. */
  nowMs(): number {
    return this.timeMs;
  }

  /** Returns a random number from 0 up to but not including 1. */
  getRandom(): number {
    return (
      pureRand.unsafeUniformIntDistribution(
        0,
        RANDOM_VALUE_COUNT - 1,
        this.random,
      ) / RANDOM_VALUE_COUNT
    );
  }

  /** Schedules an action at a virtual time in milliseconds; a time in the past counts as now. */
  at(atMs: number, action: () => void): void {
    const time = Math.max(atMs, this.timeMs);
    this.queue.add({atMs: time, sequence: this.nextSequence++, action});
  }

  /** Schedules an action of a node: it is deferred while the node is paused and dropped when the node is killed. */
  scheduleOnNode(
    node: nodes.VirtualNode,
    atMs: number,
    action: () => void,
  ): void {
    this.at(atMs, () => {
      if (!node.isAlive) return;
      if (node.pausedUntilMs > this.timeMs)
        this.scheduleOnNode(node, node.pausedUntilMs, action);
      else action();
    });
  }

  /** Runs all events up to a virtual time in milliseconds. */
  async runUntil(untilMs: number): Promise<void> {
    for (;;) {
      const event = this.queue.peek();
      if (event === undefined || event.atMs > untilMs) break;
      this.queue.remove();
      this.timeMs = event.atMs;
      event.action();
      await new Promise(resolve => setImmediate(resolve));
    }
    this.timeMs = untilMs;
  }

  /** Runs all events of the next `durationMs` milliseconds of virtual time. */
  async run(durationMs: number): Promise<void> {
    await this.runUntil(this.timeMs + durationMs);
  }

  /** Starts a node; a node that still runs at the same address is killed. */
  async startNode(
    options: nodes.VirtualNodeOptions,
  ): Promise<nodes.VirtualNode> {
    const node = new nodes.VirtualNode(this, options);
    this.nodesByAddress.get(node.address)?.kill();
    this.nodesByAddress.set(node.address, node);
    const started = node.start();
    await new Promise(resolve => setImmediate(resolve));
    await started;
    return node;
  }

  /** Cuts or restores the link between two addresses, in both directions. */
  setLinkCut(addressA: string, addressB: string, isCut: boolean): void {
    for (const link of [`${addressA} ${addressB}`, `${addressB} ${addressA}`])
      if (isCut) this.cutLinks.add(link);
      else this.cutLinks.delete(link);
  }

  /** Sets the platform fault for the node at an address, or for all nodes without a fault of their own. */
  setPlatformFault(fault: PlatformFault, address = ''): void {
    if (fault === 'none') this.platformFaults.delete(address);
    else this.platformFaults.set(address, fault);
  }

  /** Returns the platform fault that applies to the node at an address. */
  getPlatformFault(address: string): PlatformFault {
    return (
      this.platformFaults.get(address) ?? this.platformFaults.get('') ?? 'none'
    );
  }

  /** Draws the delay of one message, in milliseconds. */
  drawDelayMs(): number {
    const {minDelayMs, maxDelayMs, extraDelayFraction, maxExtraDelayMs} =
      this.network;
    const delayMs = minDelayMs + this.getRandom() * (maxDelayMs - minDelayMs);
    const hasExtraDelay = this.getRandom() < extraDelayFraction;
    return delayMs + (hasExtraDelay ? this.getRandom() * maxExtraDelayMs : 0);
  }

  /** Sends a peer call from a node over the virtual network and delivers the reply; the call fails at its deadline. */
  deliverCall(
    from: nodes.VirtualNode,
    message: Extract<services.PeersMessage, {kind: 'call'}>,
  ): void {
    const reply = replyOnce(message.reply);
    const timeoutMs = message.deadlineMs - from.clock.monotonicMs();
    this.scheduleOnNode(from, this.timeMs + timeoutMs, () =>
      reply({kind: 'failed'}),
    );
    if (this.isMessageLost(from.address, message.peersAddress)) return;
    this.at(this.timeMs + this.drawDelayMs(), () => {
      const to = this.nodesByAddress.get(message.peersAddress);
      if (to === undefined || !to.isAlive)
        this.deliverAnswer(from, message.peersAddress, () =>
          reply({kind: 'connectionRefused'}),
        );
      else
        this.scheduleOnNode(to, this.timeMs, () =>
          this.handleCall(from, to, message.request, reply),
        );
    });
  }

  private handleCall(
    from: nodes.VirtualNode,
    to: nodes.VirtualNode,
    request: Extract<services.PeersMessage, {kind: 'call'}>['request'],
    reply: kernel.Reply<services.CallResult>,
  ): void {
    const text = services.encodePeerRequest(request, CALL_ID);
    void new services.PeerRpcServer(to.kernel).receive(text).then(response => {
      if (!to.isAlive) return;
      const result = services.decodePeerResponse(
        JSON.stringify(response),
        CALL_ID,
      );
      this.deliverAnswer(from, to.address, () => reply(result));
    });
  }

  private deliverAnswer(
    from: nodes.VirtualNode,
    address: string,
    action: () => void,
  ): void {
    if (this.isMessageLost(address, from.address)) return;
    this.scheduleOnNode(from, this.timeMs + this.drawDelayMs(), action);
  }

  private isMessageLost(fromAddress: string, toAddress: string): boolean {
    return (
      this.cutLinks.has(`${fromAddress} ${toAddress}`) ||
      this.getRandom() < this.network.lossFraction
    );
  }
}

/** Each virtual call has a connection of its own, so that identifiers need not differ. */
const CALL_ID = 1;

function replyOnce<R>(reply: kernel.Reply<R>): kernel.Reply<R> {
  let isAnswered = false;
  return answer => {
    if (isAnswered) return;
    isAnswered = true;
    reply(answer);
  };
}
