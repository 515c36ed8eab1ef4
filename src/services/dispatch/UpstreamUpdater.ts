import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import type * as base from '../base/index.js';
import type * as knowledgeService from '../knowledge/KnowledgeMessage.js';
import type * as contexts from './DispatchContext.js';
import type * as tables from './ServiceTable.js';
import type * as registries from './UpstreamRegistry.js';

/** Applies rows about upstreams to the registry, logs the changes, and makes upstreams cold that start or return. */
export class UpstreamUpdater {
  private readonly registry: registries.UpstreamRegistry;
  private readonly services: tables.ServiceTable;
  private readonly random: base.RandomSource;
  private readonly context: contexts.DispatchContext;
  private hasUpstreams = false;

  /**
   * @param registry The upstreams.
   * @param services The services, which have the cold periods of their upstreams.
   * @param random Spreads the VMs' first requests to a cold upstream.
   * @param context The clock and log of the task.
   */
  constructor(
    registry: registries.UpstreamRegistry,
    services: tables.ServiceTable,
    random: base.RandomSource,
    context: contexts.DispatchContext,
  ) {
    this.registry = registry;
    this.services = services;
    this.random = random;
    this.context = context;
  }

  /** Replaces the records of all upstreams. */
  setUpstreams({
    upstreams,
    readAtMs,
    source,
  }: knowledgeService.UpstreamRowsChanged): void {
    const events = this.registry.setRecords(upstreams, this.context.nowMs());
    for (const event of events) this.handleEvent(event, source);
    const sinceReadMs = this.context.nowMs() - readAtMs;
    for (const record of upstreams)
      if (record.coldForMs > sinceReadMs)
        this.setCold(record, record.coldForMs - sinceReadMs);
    this.hasUpstreams = true;
  }

  /** Replaces the failure domains whose upstreams get no requests. */
  setEvacuatedDomains(domains: readonly string[]): void {
    const returnedDomains = this.registry.setEvacuatedDomains(domains);
    for (const {state} of this.registry.getAll())
      if (returnedDomains.includes(state.record.failureDomain))
        this.setCold(
          state.record,
          this.services.getColdMs(state.record.serviceId),
        );
  }

  private handleEvent(
    event: registries.RegistryEvent,
    source: knowledgeService.RowSource,
  ): void {
    const {upstreamId, serviceId, state, revision} = event.record;
    const fields = {
      upstream: upstreamId,
      service: serviceId,
      state,
      revision,
      source,
    };
    switch (event.kind) {
      case 'added':
        if (this.hasUpstreams) {
          this.context.log('info', 'upstreamAdded', fields);
          this.setCold(event.record, this.getInitialColdMs(event.record));
        }
        return;
      case 'changed':
        this.context.log('info', 'upstreamChanged', fields);
        return;
      case 'removed':
        this.context.log('info', 'upstreamRemoved', fields);
        return;
      default:
        errors.throwUnreachable(event);
    }
  }

  private setCold(record: entry.UpstreamRecord, coldMs: number): void {
    if (coldMs <= 0) return;
    const nowMs = this.context.nowMs();
    this.registry
      .get(record.upstreamId)
      ?.state.setCold(nowMs + coldMs, this.random.draw(), nowMs);
  }

  /** Gets how long a new upstream stays cold, in milliseconds: its service's cold period less the upstream's age. */
  private getInitialColdMs(record: entry.UpstreamRecord): number {
    const coldMs = this.services.getColdMs(record.serviceId);
    if (record.startedAtMs <= 0) return coldMs;
    const ageMs = this.context.wallMs() - record.startedAtMs;
    return coldMs - Math.min(coldMs, Math.max(0, ageMs));
  }
}
