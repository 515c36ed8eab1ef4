import * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';

/** What has been learned of one route at one service, in milliseconds; undefined while it is unknown. */
export interface LearnedTimes {
  readonly serviceId: string;
  readonly routeId: string;
  readonly warmMs: number | undefined;
  readonly coldMs: number | undefined;
  readonly slotMs: number | undefined;
}

/** The learned times of one route at one service. */
interface RouteTimes {
  readonly warm: decisions.MeanTime | undefined;
  readonly cold: decisions.MeanTime | undefined;
}

/** Separates the parts of a key; no identifier contains it. */
const KEY_SEPARATOR = '\n';

const UNKNOWN_TIMES: RouteTimes = {warm: undefined, cold: undefined};

/** Learns from answers how long requests occupy an upstream's slot, by service and route. */
export class ServiceTimesTable {
  private readonly byRoute = new Map<string, RouteTimes>();
  private readonly byService = new Map<string, decisions.MeanTime>();

  /** Records the time from sending a request to its answer, and what was expected when it was sent. */
  recordAnswer(
    serviceId: string,
    routeId: string,
    elapsedMs: number,
    {isWarm, speed, waitMs, serviceMs}: decisions.ExpectedRun,
  ): void {
    // The wait is estimated from an old report, so that its part of the time is subtracted and not its duration. The
    // longer the wait, the less the answer tells about the time in the slot.
    const servicePart =
      serviceMs / Math.max(serviceMs + waitMs, Number.EPSILON);
    const durationMs = elapsedMs * servicePart * speed;
    const key = getKey(serviceId, routeId);
    const known = this.byRoute.get(key) ?? UNKNOWN_TIMES;
    const add = (mean: decisions.MeanTime | undefined) =>
      decisions.addDuration(mean, durationMs, servicePart);
    this.byRoute.set(
      key,
      isWarm
        ? {...known, warm: add(known.warm)}
        : {...known, cold: add(known.cold)},
    );
    this.byService.set(serviceId, add(this.byService.get(serviceId)));
  }

  /** Gets the expected times of a route's requests; its objective stands for what is not known. */
  getTimes(
    serviceId: string,
    {routeId, objectiveMs}: Pick<entry.EntryRoute, 'routeId' | 'objectiveMs'>,
  ): decisions.ServiceTimes {
    const {warm, cold} =
      this.byRoute.get(getKey(serviceId, routeId)) ?? UNKNOWN_TIMES;
    const warmMs =
      warm?.meanMs ?? Math.min(objectiveMs, cold?.meanMs ?? Infinity);
    return {
      warmMs,
      // Work never takes less for an object that is not warm.
      coldMs: Math.max(warmMs, cold?.meanMs ?? objectiveMs),
      slotMs: this.byService.get(serviceId)?.meanMs ?? objectiveMs,
    };
  }

  /** Gets the expected times of the kinds that share a service, for a request of one of them. */
  getSharedTimes(
    serviceId: string,
    route: Pick<entry.EntryRoute, 'routeId' | 'objectiveMs'>,
  ): decisions.SharedTimes {
    return {
      slotMs: this.getTimes(serviceId, route).slotMs,
      // The mean of the service stands for that of a kind that this VM's callers have not requested.
      getWarmMs: ({routeId, objectiveMs}) =>
        this.byRoute.get(getKey(serviceId, routeId))?.warm?.meanMs ??
        Math.min(
          objectiveMs,
          this.byService.get(serviceId)?.meanMs ?? Infinity,
        ),
    };
  }

  /** Gets what has been learned of all routes. */
  getAll(): readonly LearnedTimes[] {
    return [...this.byRoute].map(([key, {warm, cold}]) => {
      const [serviceId, routeId] = key.split(KEY_SEPARATOR);
      return {
        serviceId,
        routeId,
        warmMs: warm?.meanMs,
        coldMs: cold?.meanMs,
        slotMs: this.byService.get(serviceId)?.meanMs,
      };
    });
  }
}

function getKey(serviceId: string, routeId: string): string {
  return `${serviceId}${KEY_SEPARATOR}${routeId}`;
}
