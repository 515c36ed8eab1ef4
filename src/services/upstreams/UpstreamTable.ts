import * as decisions from '../../decisions/index.js';
import type * as configurations from '../../model/configuration/index.js';
import type * as fleet from '../../model/fleet/index.js';
import * as httpService from '../http/index.js';
import * as clients from './UpstreamClient.js';
import type * as entries from './UpstreamEntry.js';

/** How long an upstream gets no requests after its first failure; the time doubles with each further failure. */
const FIRST_AVOIDANCE_MS = 500;

const MAX_AVOIDANCE_MS = 4000;
const SHED_AVOIDANCE_MS = 100;

/** The location of this process. */
export type Location = Pick<fleet.VmRecord, 'region' | 'failureDomain'>;

/** This process's state for all upstreams. */
export class UpstreamTable {
  private readonly location: Location;
  private readonly byId = new Map<string, entries.UpstreamEntry>();
  private readonly answerMemory: httpService.BodyMemory;
  private isFirstUpdate = true;

  /**
   * @param location The location from which the distances to upstreams are determined.
   * @param maxHeldBodyBytes The most memory in bytes that the answers may take together.
   */
  constructor(location: Location, maxHeldBodyBytes: number) {
    this.location = location;
    this.answerMemory = new httpService.BodyMemory('answer', maxHeldBodyBytes);
  }

  /** Gets an upstream; undefined when it isn't configured. */
  get(upstreamId: string): entries.UpstreamEntry | undefined {
    return this.byId.get(upstreamId);
  }

  /** Gets the identifiers of all upstreams. */
  getIds(): readonly string[] {
    return [...this.byId.keys()];
  }

  /** Whether an upstream accepts new requests and is still reached through `client`. */
  isEligible(upstreamId: string, client: clients.UpstreamClient): boolean {
    const entry = this.byId.get(upstreamId);
    return entry?.client === client && acceptsWork(entry);
  }

  /** Gets all upstreams of a service, whether they accept new requests or not. */
  getOfService(serviceId: string): readonly entries.UpstreamEntry[] {
    return [...this.byId.values()].filter(
      entry => entry.upstream.serviceId === serviceId,
    );
  }

  /** Gets the views of a service's upstreams that accept new requests. */
  getViews(serviceId: string): readonly decisions.UpstreamView[] {
    const views: decisions.UpstreamView[] = [];
    for (const entry of this.byId.values()) {
      if (entry.upstream.serviceId === serviceId && acceptsWork(entry))
        views.push(entry.view);
    }
    return views;
  }

  /** Adds, updates and removes upstreams according to the configuration. */
  update(
    upstreams: configurations.EntriesById<configurations.Upstream>,
    nowMs: number,
  ): void {
    for (const [upstreamId, entry] of this.byId) {
      if (isSameAddress(upstreams[upstreamId], entry.upstream)) continue;
      this.byId.delete(upstreamId);
      void entry.client.close();
    }
    for (const upstreamId in upstreams)
      this.setUpstream(upstreamId, upstreams[upstreamId], nowMs);
    if (this.byId.size > 0) this.isFirstUpdate = false;
  }

  /** Counts a request that is sent (1) or has ended (-1). */
  addInFlight(upstreamId: string, change: 1 | -1): void {
    this.updateEntry(upstreamId, entry => ({
      ...entry,
      view: {
        ...entry.view,
        ownInFlightCount: entry.view.ownInFlightCount + change,
      },
    }));
  }

  /** Records an upstream's load report and whether the report says that it is draining. */
  setReport(
    upstreamId: string,
    report: decisions.LoadReport,
    isLeaving: boolean,
  ): void {
    this.updateEntry(upstreamId, entry => ({
      ...entry,
      isLeaving,
      view: {...entry.view, report},
    }));
  }

  /** Records that an upstream answered. An upstream that answers again after failures starts to warm up. */
  addSuccess(upstreamId: string, nowMs: number): void {
    const entry = this.byId.get(upstreamId);
    if (entry === undefined || entry.failureCount === 0) return;
    const view: decisions.UpstreamView = {
      ...entry.view,
      avoidance: {kind: 'none'},
      warmupStartedAtMs: nowMs,
    };
    this.byId.set(upstreamId, {...entry, failureCount: 0, view});
  }

  /** Records a failure: the upstream is avoided for a time that doubles with each consecutive failure. */
  addFailure(upstreamId: string, nowMs: number): void {
    this.updateEntry(upstreamId, entry => {
      const failureCount = entry.failureCount + 1;
      const avoidanceMs = Math.min(
        MAX_AVOIDANCE_MS,
        FIRST_AVOIDANCE_MS * 2 ** (failureCount - 1),
      );
      const avoidance: decisions.Avoidance = {
        kind: 'failed',
        untilMs: nowMs + avoidanceMs,
        failedAtMs: nowMs,
      };
      return {...entry, failureCount, view: {...entry.view, avoidance}};
    });
  }

  /** Records that an upstream shed a request: it is avoided for a short time. */
  addShed(upstreamId: string, nowMs: number): void {
    this.updateEntry(upstreamId, entry => {
      const avoidance: decisions.Avoidance = {
        kind: 'shed',
        untilMs: nowMs + SHED_AVOIDANCE_MS,
      };
      return {...entry, view: {...entry.view, avoidance}};
    });
  }

  /** Closes the connections to all upstreams. */
  async close(): Promise<void> {
    const all = [...this.byId.values()];
    await Promise.all(all.map(entry => entry.client.close()));
  }

  private setUpstream(
    upstreamId: string,
    upstream: configurations.Upstream,
    nowMs: number,
  ): void {
    const existing = this.byId.get(upstreamId);
    const address = `${upstream.host}:${upstream.port}`;
    const client =
      existing?.client ??
      new clients.UpstreamClient(upstreamId, address, this.answerMemory);
    const view: decisions.UpstreamView = {
      ...(existing?.view ?? this.getInitialView(nowMs)),
      upstreamId,
      region: upstream.region,
      distance: this.getDistance(upstream),
      slotCount: upstream.slotCount,
    };
    this.byId.set(upstreamId, {
      upstream,
      client,
      view,
      isLeaving: existing?.isLeaving ?? false,
      failureCount: existing?.failureCount ?? 0,
    });
  }

  /** Gets the view of a new upstream. Upstreams of the first configuration count as warm; later ones start cold. */
  private getInitialView(
    nowMs: number,
  ): Pick<
    decisions.UpstreamView,
    'ownInFlightCount' | 'report' | 'avoidance' | 'warmupStartedAtMs'
  > {
    return {
      ownInFlightCount: 0,
      report: undefined,
      avoidance: {kind: 'none'},
      warmupStartedAtMs: this.isFirstUpdate ? -Infinity : nowMs,
    };
  }

  private getDistance(upstream: configurations.Upstream): decisions.Distance {
    if (upstream.region !== this.location.region) return 'otherRegion';
    return upstream.failureDomain === this.location.failureDomain
      ? 'sameDomain'
      : 'sameRegion';
  }

  private updateEntry(
    upstreamId: string,
    getNext: (entry: entries.UpstreamEntry) => entries.UpstreamEntry,
  ): void {
    const entry = this.byId.get(upstreamId);
    if (entry !== undefined) this.byId.set(upstreamId, getNext(entry));
  }
}

function acceptsWork(entry: entries.UpstreamEntry): boolean {
  return entry.upstream.status === 'active' && !entry.isLeaving;
}

function isSameAddress(
  next: configurations.Upstream | undefined,
  previous: configurations.Upstream,
): boolean {
  return next?.host === previous.host && next.port === previous.port;
}
