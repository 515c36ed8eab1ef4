import * as decisions from '../../decisions/index.js';
import type * as kernel from '../../kernel/index.js';
import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import type * as base from '../base/index.js';
import type * as logs from '../logs/LogMessage.js';
import type * as metrics from '../metrics/MetricsMessage.js';
import type * as messages from './DispatchMessage.js';
import * as margins from './getAnswerMargin.js';
import * as placements from './PriorityPlacement.js';
import type * as times from './ServiceTimes.js';
import type * as registries from './UpstreamRegistry.js';
import * as queues from './WaitingQueue.js';

/** Shortest delay after which a rejected caller may retry; a random jitter is added to it. */
const MIN_RETRY_MS = 250;
const JITTER_MS = 350;

/** How this VM shares upstreams that are short, with the state that it keeps for that. */
type Admission =
  | {readonly kind: 'equal'}
  | {
      readonly kind: 'byPriority';
      readonly placement: placements.PriorityPlacement;
      readonly waiting: queues.WaitingQueue;
    };

/** One attempt to place a request. */
export interface PlacementAttempt {
  readonly dispatch: messages.EntryDispatch;
  readonly serviceId: string;
  readonly triedUpstreamIds: readonly string[];

  /** Whether the request is sent for the first time, is sent again, or only its wait is estimated. */
  readonly purpose: 'first' | 'retry' | 'estimate';
}

/** What upstreams are ranked by, with the one that normally has the object warm. */
interface PlacementQuery extends registries.RankQuery {
  readonly designatedId: string | undefined;
}

/** What the placer uses of its task. */
export interface PlacerContext {
  readonly nowMs: () => number;
  readonly after: kernel.Timers['after'];
  readonly count: (name: metrics.CounterName) => void;
  readonly observe: (name: metrics.HistogramName, valueMs: number) => void;
  readonly logPlaced: (getFields: () => logs.LogFields) => void;
  readonly getMemberCount: () => number;

  /** Gets how many requests a second all VMs together may send to a cold upstream of a service. */
  readonly getColdRate: (serviceId: string) => number;
}

/** Chooses the upstreams of one VM's requests, lets requests wait for one, and tells refused callers when to retry. */
export class RequestPlacer {
  private readonly admission: Admission;
  private readonly registry: registries.UpstreamRegistry;
  private readonly random: base.RandomSource;
  private readonly context: PlacerContext;

  /**
   * @param policy How requests share upstreams that are short.
   * @param registry The upstreams.
   * @param random Ranks upstreams for requests without objects, and spreads retry times.
   * @param context The clock, timers, log and metrics of the task.
   */
  constructor(
    policy: entry.AdmissionPolicy,
    registry: registries.UpstreamRegistry,
    random: base.RandomSource,
    context: PlacerContext,
  ) {
    this.registry = registry;
    this.random = random;
    this.context = context;
    this.admission = createAdmission(policy, context);
  }

  /** Replaces the configuration, which determines the priorities that share a service. */
  setConfiguration(configuration: entry.EntryConfiguration): void {
    if (this.admission.kind === 'byPriority')
      this.admission.placement.setConfiguration(configuration);
  }

  /** Chooses an upstream for a request as of now. */
  place(attempt: PlacementAttempt): decisions.Placement {
    const {dispatch, serviceId, triedUpstreamIds} = attempt;
    const nowMs = this.context.nowMs();
    const query = this.getRankQuery(dispatch, serviceId);
    const ranked = this.registry.rank(query);
    const [designatedId] = ranked;
    const placement = this.placeAmong(
      attempt,
      {...query, designatedId},
      ranked,
      nowMs,
    );
    const isPreferred =
      placement.kind === 'chosen' &&
      this.registry.isInSameRegion(placement.upstreamId, ranked[0]);
    if (isPreferred || !this.needsOthers(placement, ranked, nowMs))
      return placement;
    const excludedIds =
      placement.kind === 'none'
        ? [...triedUpstreamIds, ...ranked]
        : triedUpstreamIds;
    const others = this.registry.rankReachable(query, excludedIds, nowMs);
    return this.placeAmong(attempt, {...query, designatedId}, others, nowMs);
  }

  /** Lets a request that no upstream accepts now wait, if one is expected to accept it in time. */
  async waitForCapacity(
    attempt: PlacementAttempt,
    crowded: Extract<decisions.Placement, {kind: 'crowded'}>,
  ): Promise<decisions.Placement> {
    const {dispatch, serviceId} = attempt;
    const {route, organisation, abandoned} = dispatch;
    const startedAtMs = this.context.nowMs();
    const finishByMs = margins.getFinishByMs(dispatch);
    const untilMs = decisions.getWaitUntilMs(route, finishByMs, startedAtMs);
    if (
      this.admission.kind === 'equal' ||
      attempt.purpose !== 'first' ||
      !decisions.isWorthWaiting(crowded, {untilMs}, startedAtMs)
    )
      return crowded;
    const placement = await this.admission.waiting.wait({
      serviceId,
      priority: decisions.getPriority(route, organisation),
      finishByMs,
      untilMs,
      abandoned,
      place: () => this.place(attempt),
    });
    this.context.count('requests_waited');
    this.context.observe(
      'placement_wait_ms',
      this.context.nowMs() - startedAtMs,
    );
    return placement;
  }

  /** Counts whether a request found an upstream or is refused. */
  countPlacement(
    attempt: PlacementAttempt,
    placement: decisions.Placement,
  ): void {
    if (placement.kind === 'crowded') this.context.count('requests_crowded');
    if (this.admission.kind === 'byPriority')
      this.admission.placement.countPlacement(
        attempt.serviceId,
        attempt.dispatch,
        placement.kind === 'chosen',
        this.context.nowMs(),
      );
  }

  /** Records an answer, and what was expected when its request was sent. */
  recordAnswer(
    serviceId: string,
    routeId: string,
    elapsedMs: number,
    expected: decisions.ExpectedRun,
  ): void {
    if (this.admission.kind === 'byPriority')
      this.admission.placement.recordAnswer(
        serviceId,
        routeId,
        elapsedMs,
        expected,
      );
  }

  /** Lets the most urgent waiting request of a service have the capacity that an answer has freed. */
  wake(serviceId: string): void {
    if (this.admission.kind === 'byPriority')
      this.admission.waiting.wake(serviceId);
  }

  /** Gets the learned times of all routes. */
  getLearnedTimes(): readonly times.LearnedTimes[] {
    return this.admission.kind === 'byPriority'
      ? this.admission.placement.getLearnedTimes()
      : [];
  }

  /** Gets the monotonic time in milliseconds at which a refused caller should retry. */
  getRetryAtMs(
    dispatch: messages.EntryDispatch,
    serviceId: string,
    error: errors.ErrorKind,
  ): number {
    const {admission} = this;
    const nowMs = this.context.nowMs();
    const query = this.getRankQuery(dispatch, serviceId);
    const openAtMs = this.registry.getFirstPauseEndMs(query, nowMs) ?? nowMs;
    const earliestMs = Math.max(nowMs + MIN_RETRY_MS, openAtMs);
    switch (admission.kind) {
      case 'equal':
        return earliestMs + JITTER_MS * this.random.draw();
      case 'byPriority':
        return admission.placement.getRetryAtMs(
          serviceId,
          dispatch.route,
          this.getSlotPart(serviceId),
          {
            nowMs,
            // When upstreams that cannot be reached return is not known.
            joinableAtMs:
              error === 'noUpstream'
                ? earliestMs
                : Math.max(
                    openAtMs,
                    nowMs + this.getJoinableInMs(dispatch, serviceId),
                  ),
            callerDeadlineMs: dispatch.request.callerDeadlineMs,
            random: this.random.draw(),
          },
        );
      default:
        return errors.throwUnreachable(admission);
    }
  }

  /**
   * Whether the few ranked upstreams do not stand for their region: one of them is paused, or none is available and one
   * is unreachable. While others are available, requests stay with them, as they have their objects warm.
   */
  private needsOthers(
    placement: decisions.Placement,
    ranked: readonly string[],
    nowMs: number,
  ): boolean {
    if (this.registry.isAnyPaused(ranked, nowMs)) return true;
    return (
      placement.kind === 'none' && this.registry.isAnyUnreachable(ranked, nowMs)
    );
  }

  private placeAmong(
    attempt: PlacementAttempt,
    query: PlacementQuery,
    ranked: readonly string[],
    nowMs: number,
  ): decisions.Placement {
    const {dispatch, triedUpstreamIds} = attempt;
    const {serviceId, objectName} = query;
    const coldRate =
      this.context.getColdRate(serviceId) / this.context.getMemberCount();
    const views = this.registry
      .getViews(ranked, objectName, coldRate, nowMs)
      .filter(view => !triedUpstreamIds.includes(view.upstreamId));
    const placement = this.choosePlacement(attempt, query, views, nowMs);
    if (attempt.purpose === 'estimate') return placement;
    this.context.logPlaced(() => ({
      request: dispatch.request.requestId,
      outcome: placement.kind,
      object: objectName,
      ranked: ranked.join(),
      busy: views.map(view => view.busyCount.toFixed(1)).join(),
      speed: views.map(view => (view.speed ?? 1).toFixed(2)).join(),
      open: views.map(view => view.isAvailable).join(),
    }));
    if (placement.kind === 'chosen')
      this.context.count(
        placement.upstreamId === ranked[0]
          ? 'placements_first'
          : 'placements_other',
      );
    return placement;
  }

  private choosePlacement(
    {dispatch, purpose}: PlacementAttempt,
    {serviceId, objectName, designatedId}: PlacementQuery,
    views: readonly decisions.PlacementCandidate[],
    nowMs: number,
  ): decisions.Placement {
    const {admission} = this;
    switch (admission.kind) {
      case 'equal':
        return decisions.choosePlacement(views);
      case 'byPriority':
        return admission.placement.place(
          views,
          {
            serviceId,
            route: dispatch.route,
            organisation: dispatch.organisation,
            hasObject: objectName !== '',
            designatedId,
            arrivedAtMs: dispatch.request.arrivedAtMs,
            finishByMs: margins.getFinishByMs(dispatch),
            isRetry: purpose === 'retry',
          },
          nowMs,
        );
      default:
        return errors.throwUnreachable(admission);
    }
  }

  /** Gets the expected time in milliseconds until an upstream accepts the request when its caller comes back. */
  private getJoinableInMs(
    dispatch: messages.EntryDispatch,
    serviceId: string,
  ): number {
    const {request, route} = dispatch;
    const arrivedAtMs = this.context.nowMs();
    const deadlineMs = Math.min(
      request.callerDeadlineMs,
      arrivedAtMs + route.timeLimitMs,
    );
    const placement = this.place({
      dispatch: {...dispatch, request: {...request, arrivedAtMs}, deadlineMs},
      serviceId,
      triedUpstreamIds: [],
      purpose: 'estimate',
    });
    return placement.kind === 'crowded' ? placement.joinableInMs : 0;
  }

  private getRankQuery(
    dispatch: messages.EntryDispatch,
    serviceId: string,
  ): registries.RankQuery {
    const {route, organisation} = dispatch;
    return {
      serviceId,
      objectName: getObjectName(dispatch),
      homeRegions: decisions.getHomeRegions(route, organisation),
      random: this.random.draw(),
    };
  }

  /** Gets this VM's part of the slots of a service. */
  private getSlotPart(serviceId: string): number {
    const capacities = this.registry.getCapacities(serviceId).values();
    const slotCount = [...capacities].reduce((sum, count) => sum + count, 0);
    return slotCount / this.context.getMemberCount();
  }
}

function createAdmission(
  policy: entry.AdmissionPolicy,
  context: PlacerContext,
): Admission {
  switch (policy.kind) {
    case 'equal':
      return policy;
    case 'byPriority':
      return {
        kind: policy.kind,
        placement: new placements.PriorityPlacement(),
        waiting: new queues.WaitingQueue({
          getNowMs: context.nowMs,
          after: context.after,
        }),
      };
    default:
      return errors.throwUnreachable(policy);
  }
}

/** Gets a name that is unique to the object across all routes; empty for a request without an object. */
export function getObjectName({
  request,
  route,
}: messages.EntryDispatch): string {
  return request.objectKey === ''
    ? ''
    : `${route.pathPrefix}${request.objectKey}`;
}
