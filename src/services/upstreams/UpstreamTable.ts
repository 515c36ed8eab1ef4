import * as decisions from '../../decisions/index.js';
import type * as configurations from '../../model/configuration/index.js';
import type * as fleet from '../../model/fleet/index.js';
import * as clients from './UpstreamClient.js';
import type * as entries from './UpstreamEntry.js';

/** Time in milliseconds for which an upstream is left out after its first failure. */
const FIRST_AVOIDANCE_MS = 500;

const MAX_AVOIDANCE_MS = 4000;
const SHED_AVOIDANCE_MS = 100;

/** Where this process is located. */
export type Place = Pick<fleet.VmRecord, 'region' | 'failureDomain'>;

/** What this process knows of every upstream. */
export class UpstreamTable {
  private readonly place: Place;
  private readonly byId = new Map<string, entries.UpstreamEntry>();
  private isFirstUpdate = true;

  /** @param place From where distances count. */
  constructor(place: Place) {
    this.place = place;
  }

  /** Gets an upstream, or nothing. */
  get(upstreamId: string): entries.UpstreamEntry | undefined {
    return this.byId.get(upstreamId);
  }

  /** Gets the identifiers of all upstreams. */
  getIds(): readonly string[] {
    return [...this.byId.keys()];
  }

  /** Whether an upstream takes new work and still has the connections of `client`. */
  isOpen(upstreamId: string, client: clients.UpstreamClient): boolean {
    const entry = this.byId.get(upstreamId);
    return entry?.client === client && takesWork(entry);
  }

  /** Gets the upstreams of a service that take new work. */
  getViews(serviceId: string): readonly decisions.UpstreamView[] {
    const views: decisions.UpstreamView[] = [];
    for (const entry of this.byId.values()) {
      if (entry.upstream.serviceId === serviceId && takesWork(entry))
        views.push(entry.view);
    }
    return views;
  }

  /** Brings the table in line with the configuration. */
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
      this.set(upstreamId, upstreams[upstreamId], nowMs);
    if (this.byId.size > 0) this.isFirstUpdate = false;
  }

  /** Counts a request that goes out (1) or ends (-1). */
  addInFlight(upstreamId: string, change: 1 | -1): void {
    this.change(upstreamId, entry => ({
      ...entry,
      view: {
        ...entry.view,
        ownInFlightCount: entry.view.ownInFlightCount + change,
      },
    }));
  }

  /** Records an upstream's load report. */
  setReport(
    upstreamId: string,
    report: decisions.LoadReport,
    isLeaving: boolean,
  ): void {
    this.change(upstreamId, entry => ({
      ...entry,
      isLeaving,
      view: {...entry.view, report},
    }));
  }

  /** Notes that an upstream answered; one that comes back after failures warms up. */
  addSuccess(upstreamId: string, nowMs: number): void {
    const entry = this.byId.get(upstreamId);
    if (entry === undefined || entry.failureCount === 0) return;
    const view: decisions.UpstreamView = {
      ...entry.view,
      avoidance: {kind: 'none'},
      warmingSinceMs: nowMs,
    };
    this.byId.set(upstreamId, {...entry, failureCount: 0, view});
  }

  /** Leaves an upstream out for a while, longer with each failure in a row. */
  addFailure(upstreamId: string, nowMs: number): void {
    this.change(upstreamId, entry => {
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

  /** Leaves an upstream that shed a request out for a moment. */
  addShed(upstreamId: string, nowMs: number): void {
    this.change(upstreamId, entry => {
      const avoidance: decisions.Avoidance = {
        kind: 'shed',
        untilMs: nowMs + SHED_AVOIDANCE_MS,
      };
      return {...entry, view: {...entry.view, avoidance}};
    });
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    const all = [...this.byId.values()];
    await Promise.all(all.map(entry => entry.client.close()));
  }

  private set(
    upstreamId: string,
    upstream: configurations.Upstream,
    nowMs: number,
  ): void {
    const known = this.byId.get(upstreamId);
    const address = `${upstream.host}:${upstream.port}`;
    const client =
      known?.client ?? new clients.UpstreamClient(upstreamId, address);
    const view: decisions.UpstreamView = {
      ...(known?.view ?? this.getNewView(nowMs)),
      upstreamId,
      region: upstream.region,
      distance: this.getDistance(upstream),
      slotCount: upstream.slotCount,
    };
    this.byId.set(upstreamId, {
      upstream,
      client,
      view,
      isLeaving: known?.isLeaving ?? false,
      failureCount: known?.failureCount ?? 0,
    });
  }

  /** Upstreams of the first version count as warm; later ones start cold. */
  private getNewView(
    nowMs: number,
  ): Pick<
    decisions.UpstreamView,
    'ownInFlightCount' | 'report' | 'avoidance' | 'warmingSinceMs'
  > {
    return {
      ownInFlightCount: 0,
      report: undefined,
      avoidance: {kind: 'none'},
      warmingSinceMs: this.isFirstUpdate ? -Infinity : nowMs,
    };
  }

  private getDistance(upstream: configurations.Upstream): decisions.Distance {
    if (upstream.region !== this.place.region) return 'otherRegion';
    return upstream.failureDomain === this.place.failureDomain
      ? 'sameDomain'
      : 'sameRegion';
  }

  private change(
    upstreamId: string,
    getNext: (entry: entries.UpstreamEntry) => entries.UpstreamEntry,
  ): void {
    const entry = this.byId.get(upstreamId);
    if (entry !== undefined) this.byId.set(upstreamId, getNext(entry));
  }
}

function takesWork(entry: entries.UpstreamEntry): boolean {
  return entry.upstream.status === 'active' && !entry.isLeaving;
}

function isSameAddress(
  next: configurations.Upstream | undefined,
  known: configurations.Upstream,
): boolean {
  return next?.host === known.host && next.port === known.port;
}
