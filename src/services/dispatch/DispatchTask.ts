import type * as codecs from '../../codecs/entry/index.js';
import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import * as base from '../base/index.js';
import * as knowledgeService from '../knowledge/KnowledgeMessage.js';
import * as membersService from '../members/MembersMessage.js';
import * as placementService from '../placement/index.js';
import type * as contexts from './DispatchContext.js';
import type * as messages from './DispatchMessage.js';
import * as notices from './NoticeHandler.js';
import * as quarantines from './QuarantineClient.js';
import * as balancers from './RegionBalancer.js';
import * as dispatchers from './RequestDispatcher.js';
import * as placers from './RequestPlacer.js';
import * as tables from './ServiceTable.js';
import * as registries from './UpstreamRegistry.js';
import * as senders from './UpstreamSender.js';
import * as updaters from './UpstreamUpdater.js';

/** How often demand is measured and the regions' shares are updated. */
const TICK_INTERVAL_MS = 250;

/** How often the learned service times are logged. */
const TIMES_LOG_INTERVAL_MS = 10_000;

/** Options of the dispatch service. */
export interface DispatchOptions {
  readonly region: string;

  /** Who gets capacity first; with `byPriority`, shares are kept in the store. */
  readonly admission: entry.AdmissionPolicy;
  readonly loadSpread: entry.LoadSpread;
  readonly bounds: entry.EntryBounds;
  readonly codec: codecs.WireCodec;
  readonly seed: number;

  /** The most memory in bytes that the upstreams' answers may take together. */
  readonly maxHeldBodyBytes: number;
}

/** Owns the connections to all upstreams: chooses an upstream for each request, sends it and returns the answer. */
export class DispatchTask extends base.ServiceTask<messages.DispatchMessage> {
  private readonly options: DispatchOptions;
  private readonly registry: registries.UpstreamRegistry;
  private readonly balancer: balancers.RegionBalancer;
  private readonly services: tables.ServiceTable;
  private readonly notices: notices.NoticeHandler;
  private readonly updater: updaters.UpstreamUpdater;
  private readonly placer: placers.RequestPlacer;
  private readonly dispatcher: dispatchers.RequestDispatcher;
  private configuration: entry.EntryConfiguration | undefined;
  private membersView: membersService.MembersChanged | undefined;

  /** @param options The region of this VM, the retry bounds, the upstreams' codec and the random seed. */
  constructor(options: DispatchOptions) {
    super();
    this.options = options;
    this.registry = new registries.UpstreamRegistry(
      options.codec,
      options.maxHeldBodyBytes,
      options.loadSpread,
    );
    this.balancer = new balancers.RegionBalancer(options.region, this.registry);
    const random = new base.RandomSource(options.seed);
    const context = this.createDispatchContext();
    this.services = new tables.ServiceTable(options.bounds, context);
    this.notices = new notices.NoticeHandler(this.registry, context);
    this.updater = new updaters.UpstreamUpdater(
      this.registry,
      this.services,
      random,
      context,
    );
    this.placer = new placers.RequestPlacer(
      options.admission,
      this.registry,
      random,
      {
        nowMs: context.nowMs,
        after: (delayMs, action) =>
          this.getContext().timers.after(delayMs, action),
        count: context.count,
        observe: context.observe,
        logPlaced: getFields => this.log('debug', 'requestPlaced', getFields),
        getMemberCount: context.getMemberCount,
        getColdRate: serviceId => this.services.getColdRate(serviceId),
      },
    );
    const sender = new senders.UpstreamSender(
      {
        codec: options.codec,
        registry: this.registry,
        balancer: this.balancer,
        placer: this.placer,
        notices: this.notices,
      },
      context,
    );
    this.dispatcher = new dispatchers.RequestDispatcher(
      {
        registry: this.registry,
        services: this.services,
        placer: this.placer,
        sender,
        quarantine: new quarantines.QuarantineClient(context),
        random,
      },
      context,
    );
  }

  protected override async onStart(): Promise<void> {
    const subscriber = this.getAddress();
    const knowledge = this.getService(knowledgeService.KNOWLEDGE);
    knowledge.post({kind: 'subscribeOperatorRows', subscriber});
    knowledge.post({kind: 'subscribeUpstreamRows', subscriber});
    const members = this.getService(membersService.MEMBERS);
    members.post({kind: 'subscribe', subscriber});
    members.post({kind: 'subscribeLeavingUpstreams', subscriber});
    this.postEvery(TICK_INTERVAL_MS, {kind: 'tick'});
    switch (this.options.admission.kind) {
      case 'equal':
        return;
      case 'byPriority':
        this.postEvery(TIMES_LOG_INTERVAL_MS, {kind: 'logServiceTimes'});
        this.readStoredShares();
        return;
      default:
        errors.throwUnreachable(this.options.admission);
    }
  }

  protected override async onStop(): Promise<void> {
    await this.registry.close();
  }

  protected override receive(message: messages.DispatchMessage): void {
    switch (message.kind) {
      case 'operatorRowsChanged':
        this.setOperatorRows(message.rows);
        return;
      case 'upstreamRowsChanged':
        this.updater.setUpstreams(message);
        return;
      case 'membersChanged':
        this.membersView = message;
        this.registry.setRegionPeerCount(
          message.servingMembers.filter(
            ({vmId, region}) =>
              vmId !== message.selfId && region === this.options.region,
          ).length,
        );
        return;
      case 'upstreamLeaving':
        this.notices.setLeaving(message.start, 'peer');
        return;
      case 'dispatch':
        void this.dispatcher.run(message.dispatch).then(message.reply);
        return;
      case 'storedSharesRead':
        this.balancer.setStoredShares(message.services);
        this.log('info', 'sharesRestored', {
          services: message.services.map(({serviceId}) => serviceId).join(),
        });
        // Requests that arrive before the next tick go to the stored regions, too.
        this.tick();
        return;
      case 'tick':
        this.tick();
        return;
      case 'logServiceTimes':
        this.logServiceTimes();
        return;
      default:
        errors.throwUnreachable(message);
    }
  }

  private createDispatchContext(): contexts.DispatchContext {
    return {
      nowMs: () => this.nowMs(),
      wallMs: () => this.getContext().clock.wallMs(),
      getService: name => this.getService(name),
      log: (level, name, fields) => this.log(level, name, fields),
      count: name => this.count(name),
      observe: (name, valueMs) => this.observe(name, valueMs),
      getMemberCount: () => (this.membersView?.peerCount ?? 0) + 1,
    };
  }

  private setOperatorRows(rows: entry.OperatorRows): void {
    if (rows.configuration !== this.configuration) {
      this.configuration = rows.configuration;
      this.placer.setConfiguration(rows.configuration);
      this.services.setServices(rows.configuration.services);
    }
    this.updater.setEvacuatedDomains(rows.evacuatedDomains);
  }

  /** Asks for the stored shares of the services; they are used where they arrive before the first update. */
  private readStoredShares(): void {
    void this.getService(placementService.PLACEMENT)
      .ask<readonly entry.StoredShares[]>(reply => ({
        kind: 'readShares',
        reply,
      }))
      .then(services =>
        this.getAddress().post({kind: 'storedSharesRead', services}),
      );
  }

  private storeShares(move: balancers.SharesMoved): void {
    // Initial shares follow from assumed demand and would replace measured ones that could not be read in time.
    if (this.options.admission.kind === 'equal' || move.isInitial) return;
    const {serviceId, shares, capacities} = move;
    this.getService(placementService.PLACEMENT).post({
      kind: 'setShares',
      shares: {serviceId, shares, capacities},
    });
  }

  private tick(): void {
    const statuses = this.membersView?.peerStatuses ?? [];
    for (const move of this.balancer.update(
      this.services.getServiceIds(),
      statuses,
      this.nowMs(),
    )) {
      this.logSharesMoved(move);
      this.storeShares(move);
    }
    this.getService(membersService.MEMBERS).post({
      kind: 'setServiceDemands',
      demands: this.balancer.getOwnDemands(),
    });
  }

  private logSharesMoved(move: balancers.SharesMoved): void {
    const shares = [...move.shares].map(
      ([region, share]) => `${region}:${share.toFixed(2)}`,
    );
    const loads = move.loads.map(
      ({region, demandSlots, capacitySlots}) =>
        `${region}:${demandSlots.toFixed(1)}/${capacitySlots.toFixed(1)}`,
    );
    this.log('info', 'regionSharesMoved', {
      service: move.serviceId,
      shares: shares.join(),
      loads: loads.join(),
    });
  }

  private logServiceTimes(): void {
    for (const times of this.placer.getLearnedTimes())
      this.log('info', 'serviceTimesLearned', {
        service: times.serviceId,
        route: times.routeId,
        warmMs: Math.round(times.warmMs ?? 0),
        coldMs: Math.round(times.coldMs ?? 0),
        slotMs: Math.round(times.slotMs ?? 0),
      });
  }
}
