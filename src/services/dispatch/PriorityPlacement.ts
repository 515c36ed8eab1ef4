import * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';
import * as times from './ServiceTimes.js';

/** A request that is placed by its priority, objective and time limit. */
export interface PrioritisedRequest {
  readonly serviceId: string;
  readonly route: entry.EntryRoute;
  readonly organisation: entry.EntryOrganisation | undefined;

  /** Whether the request concerns an object; other requests take the same time at every upstream. */
  readonly hasObject: boolean;

  /** The upstream that normally has the object warm. */
  readonly designatedId: string | undefined;

  readonly arrivedAtMs: number;

  /** Monotonic time in milliseconds by which an upstream must have answered. */
  readonly finishByMs: number;

  /** Whether the request was sent before; it is sent again only to an upstream with a free slot. */
  readonly isRetry: boolean;
}

/** The state of placement by expected finish time: learned times, the priorities in use, and who was placed lately. */
export class PriorityPlacement {
  private readonly times = new times.ServiceTimesTable();
  private readonly shares = new Map<string, decisions.ServedShare>();
  private readonly rates = new Map<string, decisions.RequestRate>();
  private readonly nextFreeAtMs = new Map<string, number>();
  private uses: ReadonlyMap<string, readonly decisions.ServiceUse[]> =
    new Map();

  /** Replaces the configuration, which determines the priorities that share a service. */
  setConfiguration(
    configuration: Pick<entry.EntryConfiguration, 'routes' | 'organisations'>,
  ): void {
    this.uses = decisions.getServiceUses(configuration);
    this.shares.clear();
    this.rates.clear();
  }

  /** Chooses the upstream at which a request is expected to finish first. */
  place(
    views: readonly decisions.PlacementCandidate[],
    request: PrioritisedRequest,
    nowMs: number,
  ): decisions.Placement {
    const {serviceId, route, designatedId, arrivedAtMs, finishByMs} = request;
    const candidates = request.hasObject
      ? views
      : views.map(view => ({...view, isWarm: true}));
    return decisions.choosePlacementByFinish(candidates, {
      times: this.times.getTimes(serviceId, route),
      designatedId,
      objectiveLeftMs: arrivedAtMs + route.objectiveMs - nowMs,
      remainingMs: finishByMs - nowMs,
      maxWaitMs: request.isRetry ? 0 : this.getMaxWaitMs(request),
    });
  }

  /** Counts whether a request found an upstream or was refused. */
  countPlacement(
    serviceId: string,
    {route, organisation}: Pick<PrioritisedRequest, 'route' | 'organisation'>,
    isPlaced: boolean,
    nowMs: number,
  ): void {
    for (const key of Object.values(
      getShareKeys(serviceId, route, organisation),
    ))
      this.shares.set(
        key,
        decisions.addOffered(this.shares.get(key), isPlaced, nowMs),
      );
    if (organisation === undefined) return;
    const {organisationId} = organisation;
    this.rates.set(
      organisationId,
      decisions.addRequest(this.rates.get(organisationId), nowMs),
    );
  }

  /** Records an answer, and what was expected when its request was sent. */
  recordAnswer(
    serviceId: string,
    routeId: string,
    elapsedMs: number,
    expected: decisions.ExpectedRun,
  ): void {
    this.times.recordAnswer(serviceId, routeId, elapsedMs, expected);
  }

  /** Gets the learned times of all routes. */
  getLearnedTimes(): readonly times.LearnedTimes[] {
    return this.times.getAll();
  }

  /** Gets when a refused caller should retry. `slotCount` is this VM's part of the service's slots. */
  getRetryAtMs(
    serviceId: string,
    route: entry.EntryRoute,
    slotCount: number,
    refusal: Omit<decisions.Refusal, 'intervalMs'>,
  ): number {
    const {slotMs} = this.times.getTimes(serviceId, route);
    const {retryAtMs, nextFreeAtMs} = decisions.decideRetry(
      {...refusal, intervalMs: slotMs / Math.max(slotCount, Number.EPSILON)},
      this.nextFreeAtMs.get(serviceId) ?? -Infinity,
    );
    this.nextFreeAtMs.set(serviceId, nextFreeAtMs);
    return retryAtMs;
  }

  private getMaxWaitMs({
    serviceId,
    route,
    organisation,
  }: PrioritisedRequest): number {
    const keys = getShareKeys(serviceId, route, organisation);
    const all = this.shares.get(keys.all);
    const kind = this.shares.get(keys.kind);
    const sender = this.shares.get(keys.sender);
    const shared = this.times.getSharedTimes(serviceId, route);
    const ownMs = decisions.getOwnMaxWaitMs(route, shared);
    if (decisions.isStarved(kind, all) || decisions.isStarved(sender, all))
      return ownMs;
    const yieldingMs = decisions.getYieldingMaxWaitMs(
      this.uses.get(serviceId) ?? [],
      decisions.getPriority(route, organisation),
      shared,
    );
    const isExempt =
      organisation === undefined || decisions.isRefusedTooOften(sender, all);
    const waitPart = isExempt
      ? 1
      : decisions.getWaitPart(this.rates.get(organisation.organisationId));
    return Math.min(ownMs, yieldingMs) * waitPart;
  }
}

/** The keys under which a request's placement is counted. */
interface ShareKeys {
  readonly all: string;
  readonly kind: string;
  readonly sender: string;
}

function getShareKeys(
  serviceId: string,
  {routeId}: entry.EntryRoute,
  organisation: entry.EntryOrganisation | undefined,
): ShareKeys {
  return {
    all: `service|${serviceId}`,
    kind: `route|${serviceId}|${routeId}`,
    sender: `organisation|${serviceId}|${organisation?.organisationId ?? ''}`,
  };
}
