import * as codecs from '../../codecs/index.js';
import * as decisions from '../../decisions/index.js';
import * as kernel from '../../kernel/index.js';
import * as errors from '../../model/errors/index.js';
import * as fleet from '../../model/fleet/index.js';
import type * as peers from '../../model/peers/index.js';
import * as base from '../base/index.js';
import * as callersService from '../callers/CallersMessage.js';
import * as configurationService from '../configuration/ConfigurationMessage.js';
import * as operationsService from '../operations/OperationsMessage.js';
import * as peersService from '../peers/PeersMessage.js';
import * as messages from './FleetMessage.js';
import type * as views from './FleetView.js';
import * as records from './PeerRecord.js';
import * as tables from './PeerTable.js';
import * as registrations from './SlotRegistration.js';

const HEARTBEAT_INTERVAL_MS = 500;
const HEARTBEAT_TIMEOUT_MS = 1000;

/** A VM's record without its addresses, which are known only once the listeners are open. */
export type VmIdentity = Omit<
  fleet.VmRecord,
  'callersAddress' | 'peersAddress'
>;

/** The options of the fleet task. */
export interface FleetOptions {
  readonly identity: VmIdentity;

  /** The number of slots of a fleet whose map has not been written yet. */
  readonly slotCount: number;

  /** Addresses at which callers and peers reach this process, where they differ from its listeners' addresses. */
  readonly advertised: codecs.Settings['advertised'];
}

/** A pending `awaitVersion` request. */
interface VersionWaiter {
  readonly version: number;

  /** Monotonic time in milliseconds. */
  readonly deadlineMs: number;

  readonly reply: kernel.Reply<messages.VersionSpread>;
}

/**
 * Tracks the processes of the fleet, the slots that they hold, and until when the configuration and the fleet map of
 * this process count as fresh. Exchanges heartbeats with all other processes.
 */
export class FleetTask extends base.ServiceTask<messages.FleetMessage> {
  private readonly options: FleetOptions;
  private readonly subscribers: kernel.Address<messages.FleetChanged>[] = [];
  private readonly peers = new tables.PeerTable();
  private readonly waiters = new Set<VersionWaiter>();
  private self: fleet.VmRecord | undefined;
  private map: fleet.FleetMap | undefined;
  /** The slot that this process holds; undefined while it holds none. */
  private tenure: decisions.SlotTenure | undefined;
  private freshness: decisions.FreshnessState = decisions.INITIAL_FRESHNESS;
  private configurationVersion = 0;
  private isRegistering = false;
  private isStopping = false;
  private wasFresh = false;

  /** @param options The identity and the advertised addresses of this process. */
  constructor(options: FleetOptions) {
    super();
    this.options = options;
  }

  protected override async onStart(): Promise<void> {
    const {services} = this.getContext();
    const callersAddress =
      this.options.advertised.callersAddress ??
      (await services
        .getOrThrow(callersService.CALLERS)
        .ask<string>(reply => ({kind: 'getAddress', reply})));
    const peersAddress =
      this.options.advertised.peersAddress ??
      (await services
        .getOrThrow(peersService.PEERS)
        .ask<string>(reply => ({kind: 'getAddress', reply})));
    this.self = {...this.options.identity, callersAddress, peersAddress};
    this.postEvery(HEARTBEAT_INTERVAL_MS, {kind: 'tick'});
    this.pollTable();
  }

  protected override async onStop(): Promise<void> {
    const {services} = this.getContext();
    this.isStopping = true;
    this.sendHeartbeats();
    this.publishView();
    await services
      .getOrThrow(callersService.CALLERS)
      .ask<void>(reply => ({kind: 'drain', reply}));
    await services
      .getOrThrow(operationsService.OPERATIONS)
      .ask<void>(reply => ({kind: 'drain', reply}));
    if (this.self !== undefined) {
      await registrations.unregister(services, this.getSelf());
      this.log('info', 'slotReleased', {slot: this.tenure?.slotIndex ?? -1});
    }
  }

  protected override receive(message: messages.FleetMessage): void {
    switch (message.kind) {
      case 'subscribe':
        this.subscribers.push(message.subscriber);
        return;
      case 'tableRead':
        this.handleTableRead(message);
        return;
      case 'configurationApplied':
        this.configurationVersion = message.version;
        this.sendHeartbeats();
        return;
      case 'mapReceived':
        this.setMap(message.map);
        return;
      case 'heartbeat':
        this.updatePeerStatus(message.status);
        message.reply(this.getOwnStatus());
        return;
      case 'heartbeatResult':
        this.handleHeartbeatResult(message);
        return;
      case 'processDied':
        this.markPeerDead(message.processId);
        return;
      case 'tick':
        this.tick();
        return;
      case 'getMap':
        message.reply(this.map);
        return;
      case 'listVms':
        message.reply(this.getVmStatuses());
        return;
      case 'awaitVersion':
        this.waiters.add(message);
        this.replyToWaiters();
        return;
      default:
        errors.throwUnreachable(message);
    }
  }

  private tick(): void {
    this.sendHeartbeats();
    this.publishView();
    this.replyToWaiters();
  }

  private handleTableRead(
    message: Extract<messages.FleetMessage, {kind: 'tableRead'}>,
  ): void {
    this.configurationVersion = message.configurationVersion;
    this.setMap(this.parseFleetRow(message.fleetRow));
    this.freshness = decisions.addTableRead(this.freshness, message.sentAtMs);
    void this.register();
    this.publishView();
  }

  private parseFleetRow(
    row: {readonly version: number; readonly value: string} | undefined,
  ): fleet.FleetMap {
    if (row === undefined)
      return registrations.createEmptyMap(this.options.slotCount);
    const value = codecs.parseJsonOrThrow(
      codecs.fleetRowSchema,
      row.value,
      'invalidRow',
    );
    return {version: row.version, ...value};
  }

  private setMap(map: fleet.FleetMap): void {
    if (this.map !== undefined && map.version <= this.map.version) return;
    const self = this.self;
    if (self === undefined) return;
    this.map = map;
    this.peers.syncWithMap(map, self.processId, this.nowMs());
    this.clearLostTenure(map, self.processId);
    this.sendHeartbeats();
    this.publishView();
  }

  private clearLostTenure(map: fleet.FleetMap, processId: string): void {
    if (this.tenure === undefined) return;
    if (fleet.getSlotIndex(map, processId) === this.tenure.slotIndex) return;
    this.log('warn', 'slotLost', {slot: this.tenure.slotIndex});
    this.tenure = undefined;
  }

  private async register(): Promise<void> {
    if (this.isRegistering || this.isStopping || this.map === undefined) return;
    if (this.tenure !== undefined) return;
    this.isRegistering = true;
    const nowMs = this.nowMs();
    const result = await registrations.register(
      this.getContext().services,
      this.map,
      this.getSelf(),
      this.peers.getAll(),
      nowMs,
    );
    this.isRegistering = false;
    switch (result.kind) {
      case 'failed':
        return;
      case 'conflict':
        this.pollTable();
        return;
      case 'standby':
        this.setMap(result.map);
        return;
      case 'slot':
        this.setTenure(result.tenure);
        this.setMap(result.map);
        return;
      default:
        errors.throwUnreachable(result);
    }
  }

  private setTenure(tenure: Omit<decisions.SlotTenure, 'takenAtMs'>): void {
    this.tenure = {...tenure, takenAtMs: this.nowMs()};
    const {slotIndex, history} = tenure;
    this.log('info', 'slotTaken', {slot: slotIndex, history});
  }

  private pollTable(): void {
    this.getService(configurationService.CONFIGURATION).post({kind: 'poll'});
  }

  private sendHeartbeats(): void {
    if (this.self === undefined || this.map === undefined) return;
    for (const record of this.peers.getAll()) this.sendHeartbeat(record);
  }

  private sendHeartbeat(record: records.PeerRecord): void {
    const sentAtMs = this.nowMs();
    const {processId} = record.vm;
    const request: peers.PeerRequest = {
      kind: 'heartbeat',
      status: this.getOwnStatus(),
    };
    void this.getService(peersService.PEERS)
      .ask<peersService.CallResult>(reply => ({
        kind: 'call',
        peersAddress: record.vm.peersAddress,
        request,
        deadlineMs: sentAtMs + HEARTBEAT_TIMEOUT_MS,
        reply,
      }))
      .then(result =>
        this.getAddress().post({
          kind: 'heartbeatResult',
          processId,
          sentAtMs,
          result,
        }),
      );
  }

  private handleHeartbeatResult(
    message: Extract<messages.FleetMessage, {kind: 'heartbeatResult'}>,
  ): void {
    const {processId, result, sentAtMs} = message;
    switch (result.kind) {
      case 'failed':
        return;
      case 'connectionRefused':
        this.markPeerDead(processId);
        return;
      case 'answered':
        if (result.answer.kind !== 'status') return;
        this.handleHeartbeatAnswer(processId, result.answer.status, sentAtMs);
        return;
      default:
        errors.throwUnreachable(result);
    }
  }

  /**
   * Processes a peer's answer to a heartbeat. An answer from a different process at the same address proves that the
   * expected process has terminated.
   */
  private handleHeartbeatAnswer(
    processId: string,
    status: peers.PeerStatus,
    sentAtMs: number,
  ): void {
    if (status.processId !== processId) {
      this.markPeerDead(processId);
      return;
    }
    this.peers.recordHeartbeatAnswer(processId, sentAtMs);
    this.updatePeerStatus(status);
    this.updateFreshness(status, sentAtMs);
    this.confirmTenure();
    this.publishView();
    this.replyToWaiters();
  }

  private updatePeerStatus(status: peers.PeerStatus): void {
    this.peers.updateStatus(status);
    const isNewer =
      status.configurationVersion > this.configurationVersion ||
      status.fleetVersion > (this.map?.version ?? 0);
    if (!isNewer) return;
    const peersAddress = this.peers.get(status.processId)?.vm.peersAddress;
    if (peersAddress === undefined) this.pollTable();
    else
      this.getService(configurationService.CONFIGURATION).post({
        kind: 'newerAtPeer',
        peersAddress,
      });
  }

  /** Counts an answer towards freshness if the peer holds a slot and has no newer versions than this process. */
  private updateFreshness(status: peers.PeerStatus, sentAtMs: number): void {
    const map = this.map;
    if (map === undefined || !status.isCounted) return;
    if (status.configurationVersion > this.configurationVersion) return;
    if (status.fleetVersion > map.version) return;
    const slotIndex = fleet.getSlotIndex(map, status.processId);
    if (slotIndex === undefined) return;
    this.freshness = decisions.addHeartbeatAnswer(this.freshness, {
      slotIndex,
      sentAtMs,
    });
  }

  /** Records the time at which a majority of the other slots' holders knows that this process has taken its slot. */
  private confirmTenure(): void {
    const tenure = this.tenure;
    if (tenure === undefined || tenure.majorityConfirmedAtMs !== undefined)
      return;
    const confirmingPeers = this.peers
      .getAll()
      .filter(
        record =>
          record.status !== undefined &&
          record.status.isCounted &&
          record.status.fleetVersion >= tenure.takenInVersion,
      );
    if (confirmingPeers.length < this.getMajority()) return;
    this.tenure = {...tenure, majorityConfirmedAtMs: this.nowMs()};
  }

  private markPeerDead(processId: string): void {
    const record = this.peers.markDead(processId, this.nowMs());
    if (record === undefined) return;
    this.log('warn', 'peerDied', {peer: record.vm.vmId, process: processId});
    this.publishView();
  }

  private publishView(): void {
    const view = this.getView();
    if (view === undefined) return;
    this.logFreshness(view);
    for (const subscriber of this.subscribers)
      subscriber.post({kind: 'fleetChanged', view});
  }

  private getView(): views.FleetView | undefined {
    const {map, self} = this;
    if (map === undefined || self === undefined) return undefined;
    const nowMs = this.nowMs();
    const servingPeers = this.peers.getServing(nowMs);
    const deadProcesses = this.peers.getDead();
    const freshUntilMs = this.getFreshUntilMs();
    return {
      self,
      map,
      servingVms: [
        ...(this.isStopping ? [] : [self]),
        ...servingPeers.map(record => record.vm),
      ],
      liveHolders: this.getLiveHolders(map, self, nowMs),
      deadProcessIds: deadProcesses.map(entry => entry.processId),
      controlledSlots: decisions.getControlledSlots(
        map,
        this.tenure,
        deadProcesses,
      ),
      freshUntilMs,
      freshUntilWallMs:
        this.getContext().clock.wallMs() + (freshUntilMs - nowMs),
    };
  }

  private getLiveHolders(
    map: fleet.FleetMap,
    self: fleet.VmRecord,
    nowMs: number,
  ): readonly views.LiveHolder[] {
    const ownHolder = {...self, isStopping: this.isStopping};
    const others = this.peers.getAlive(nowMs).map(record => ({
      ...record.vm,
      isStopping: record.status?.isStopping ?? false,
    }));
    const vms = this.tenure === undefined ? others : [ownHolder, ...others];
    return vms.flatMap(({processId, peersAddress, isStopping}) => {
      const slotIndex = fleet.getSlotIndex(map, processId);
      return slotIndex === undefined
        ? []
        : [{processId, peersAddress, slotIndex, isStopping}];
    });
  }

  private getFreshUntilMs(): number {
    return decisions.getFreshUntilMs(this.freshness, {
      majority: this.getMajority(),
      isSelfCounted: this.isCounted(),
    });
  }

  private getOwnStatus(): peers.PeerStatus {
    return {
      processId: this.options.identity.processId,
      vmId: this.options.identity.vmId,
      configurationVersion: this.configurationVersion,
      fleetVersion: this.map?.version ?? 0,
      isCounted: this.isCounted(),
      isStopping: this.isStopping,
    };
  }

  private isCounted(): boolean {
    return this.tenure !== undefined && decisions.isTenureCounted(this.tenure);
  }

  private getMajority(): number {
    return fleet.getMajority(this.map?.slots.length ?? this.options.slotCount);
  }

  private getVmStatuses(): readonly messages.VmStatus[] {
    const {map, self} = this;
    if (map === undefined || self === undefined) return [];
    const nowMs = this.nowMs();
    const ownStatus: messages.VmStatus = {
      vm: self,
      slotIndex: this.tenure?.slotIndex,
      isAnswering: true,
      isStopping: this.isStopping,
      configurationVersion: this.configurationVersion,
    };
    const others = this.peers.getAll().map(record => ({
      vm: record.vm,
      slotIndex: fleet.getSlotIndex(map, record.vm.processId),
      isAnswering: records.isAlive(record, nowMs),
      isStopping: record.status?.isStopping ?? false,
      configurationVersion: record.status?.configurationVersion ?? 0,
    }));
    return [ownStatus, ...others];
  }

  private replyToWaiters(): void {
    const nowMs = this.nowMs();
    for (const waiter of this.waiters) {
      const spread = this.getVersionSpread(waiter.version);
      const isDone = spread.isAccepted && spread.missingVmIds.length === 0;
      if (!isDone && nowMs < waiter.deadlineMs) continue;
      this.waiters.delete(waiter);
      waiter.reply(spread);
    }
  }

  private getVersionSpread(version: number): messages.VersionSpread {
    const statuses = this.getVmStatuses();
    const upToDateVms = statuses.filter(
      status => status.configurationVersion >= version,
    );
    const upToDateHolders = upToDateVms.filter(
      status => status.slotIndex !== undefined,
    );
    const outdatedVms = statuses.filter(
      status => !upToDateVms.includes(status),
    );
    return {
      isAccepted: upToDateHolders.length >= this.getMajority(),
      inForceVmIds: upToDateVms.map(status => status.vm.vmId),
      missingVmIds: outdatedVms.map(status => status.vm.vmId),
    };
  }

  private getSelf(): fleet.VmRecord {
    if (this.self === undefined) throw new Error('the fleet has not started');
    return this.self;
  }

  private logFreshness(view: views.FleetView): void {
    const isFresh = view.freshUntilMs > this.nowMs();
    if (isFresh === this.wasFresh) return;
    this.wasFresh = isFresh;
    this.log(
      isFresh ? 'info' : 'warn',
      isFresh ? 'freshnessRegained' : 'freshnessLost',
      {},
    );
  }
}
