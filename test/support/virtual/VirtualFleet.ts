import * as decisions from '../../../src/decisions/index.js';
import type * as nodes from './VirtualNode.js';
import * as simulations from './Simulation.js';

const MAX_CLOCK_OFFSET_MS = 100_000;
const MS_PER_SECOND = 1000;

/** The rate limit of an organisation in a test. */
export interface TestOrganisation {
  readonly ratePerSecond: number;
  readonly burstRequests: number;
}

/** A request that a test sent, and whether it was admitted. */
export interface Arrival {
  readonly organisationId: string;
  readonly atMs: number;

  /** Virtual time in milliseconds at which the request was admitted; undefined if it was not. */
  readonly admittedAtMs: number | undefined;
}

/** A simulated fleet of nodes, with organisations and callers. */
export class VirtualFleet {
  readonly simulation: simulations.Simulation;
  private readonly size: number;
  private readonly nodes: nodes.VirtualNode[] = [];
  private readonly arrivals: Arrival[] = [];
  private startedProcessCount = 0;

  constructor(seed: number, size = 7) {
    this.simulation = new simulations.Simulation(seed);
    this.size = size;
  }

  /** Starts all nodes and adds the organisations to the configuration; runs six seconds of virtual time. */
  async start(
    organisations: Readonly<Record<string, TestOrganisation>>,
  ): Promise<void> {
    for (let index = 0; index < this.size; index += 1)
      await this.startNode(index);
    this.listVms(this.nodes.map((node, index) => `vm-${index}`));
    await this.simulation.run(3000);
    const entries = Object.entries(organisations).map(([id, limits]) => [
      id,
      {name: id, ...limits},
    ]);
    const patch = {organisations: Object.fromEntries(entries)};
    void this.getNode(0).patch(0, patch, 'first');
    await this.simulation.run(3000);
  }

  /** Starts a new process of a node, the first one or one after a kill. */
  async startNode(index: number): Promise<void> {
    this.startedProcessCount += 1;
    this.nodes[index] = await this.simulation.startNode({
      vmId: `vm-${index}`,
      processId: `process-${index}-${this.startedProcessCount}`,
      slotCount: this.size,
      clockOffsetMs: this.simulation.getRandom() * MAX_CLOCK_OFFSET_MS,
    });
  }

  getNode(index: number): nodes.VirtualNode {
    return this.nodes[index];
  }

  /** Returns the index of the node to which steering sends an organisation's callers while all nodes are alive. */
  getHomeNodeIndex(organisationId: string): number {
    const candidates = this.nodes.map((node, index) => ({
      processId: node.processId,
      slotIndex: node.getSlotIndex(),
      index,
    }));
    return decisions.getHome(organisationId, candidates)?.index ?? 0;
  }

  /** Replaces the platform's list of VMs; all are listed as live. */
  listVms(vmIds: readonly string[]): void {
    const vms = vmIds.map(vmId => ({vmId, status: 'live' as const}));
    this.simulation.platform.setVms(vms);
  }

  /** Cuts or restores the links from a node to all others. */
  setIsolated(index: number, isIsolated: boolean): void {
    const {address} = this.getNode(index);
    for (const other of this.nodes)
      if (other.address !== address)
        this.simulation.setLinkCut(address, other.address, isIsolated);
  }

  /** Schedules requests as a Poisson process, at random nodes unless `chooseNodeIndex` selects them. */
  addArrivals(
    organisationId: string,
    ratePerSecond: number,
    durationMs: number,
    chooseNodeIndex: () => number = () =>
      Math.floor(this.simulation.getRandom() * this.size),
  ): void {
    const endMs = this.simulation.nowMs() + durationMs;
    let atMs = this.simulation.nowMs();
    for (;;) {
      const uniformValue = 1 - this.simulation.getRandom();
      atMs += (-Math.log(uniformValue) / ratePerSecond) * MS_PER_SECOND;
      if (atMs >= endMs) return;
      const arrivedAtMs = atMs;
      this.simulation.at(atMs, () =>
        this.sendRequest(organisationId, arrivedAtMs, chooseNodeIndex()),
      );
    }
  }

  /** Returns the requests of an organisation so far, whether admitted, refused or unanswered. */
  getArrivals(organisationId: string): readonly Arrival[] {
    return this.arrivals.filter(
      arrival => arrival.organisationId === organisationId,
    );
  }

  private sendRequest(
    organisationId: string,
    arrivedAtMs: number,
    nodeIndex: number,
  ): void {
    const position = this.arrivals.length;
    const arrival = {organisationId, atMs: arrivedAtMs};
    this.arrivals.push({...arrival, admittedAtMs: undefined});
    const node = this.getNode(nodeIndex);
    if (!node.isAlive || node.pausedUntilMs > this.simulation.nowMs()) return;
    void node.admit(organisationId).then(result => {
      if (result.kind !== 'granted' || !node.isAlive) return;
      const admittedAtMs = this.simulation.nowMs();
      this.arrivals[position] = {...arrival, admittedAtMs};
    });
  }
}
