import type * as entry from '../../model/entry/index.js';

/** A kind of request that may use a service, with one of the priorities that the configuration gives to it. */
export interface ServiceUse {
  readonly routeId: string;
  readonly priority: number;
  readonly objectiveMs: number;
}

/** Gets the priority of a request; 0 is the highest. That of its organisation takes precedence over its route's. */
export function getPriority(
  route: Pick<entry.EntryRoute, 'priority'>,
  organisation: Pick<entry.EntryOrganisation, 'priority'> | undefined,
): number {
  return organisation?.priority ?? route.priority;
}

/** Gets the kinds of requests that may use each service, by the service's identifier. */
export function getServiceUses({
  routes,
  organisations,
}: Pick<entry.EntryConfiguration, 'routes' | 'organisations'>): ReadonlyMap<
  string,
  readonly ServiceUse[]
> {
  const ownPriorities = organisations.flatMap(({priority}) => priority ?? []);
  const uses = new Map<string, ServiceUse[]>();
  for (const {routeId, objectiveMs, destination, ...route} of routes) {
    const priorities = new Set([route.priority, ...ownPriorities]);
    for (const serviceId of getServiceIds(destination)) {
      const serviceUses = uses.get(serviceId) ?? [];
      for (const priority of priorities)
        serviceUses.push({routeId, priority, objectiveMs});
      uses.set(serviceId, serviceUses);
    }
  }
  return uses;
}

function getServiceIds(destination: entry.Destination): readonly string[] {
  switch (destination.kind) {
    case 'service':
      return [destination.serviceId];
    case 'split':
      return destination.parts
        .filter(({weight}) => weight > 0)
        .map(({serviceId}) => serviceId);
  }
}

/** The part of the wait that a kind can bear that it may use; the rest is left for waits that were underestimated. */
const OWN_PART = 0.75;

/** The part of the wait that a more urgent kind can bear that less urgent kinds may use. */
const YIELDING_PART = 0.4;

/** The expected times of the requests that share a service, in milliseconds. */
export interface SharedTimes {
  /** The mean time for which a request of any kind occupies a slot of the service. */
  readonly slotMs: number;

  /** Gets the time that a kind of request takes where its object is warm. */
  readonly getWarmMs: (
    use: Pick<ServiceUse, 'routeId' | 'objectiveMs'>,
  ) => number;
}

/**
 * Gets the longest expected wait in milliseconds with which a request may join a queue for its own sake: its answer, and
 * that of a request of its kind behind it, still meet the objective. After a start no object is warm and no answer meets
 * the objective; one request a slot may then wait, so that objects become warm as fast as the slots allow.
 */
export function getOwnMaxWaitMs(
  use: Pick<ServiceUse, 'routeId' | 'objectiveMs'>,
  {slotMs, getWarmMs}: SharedTimes,
): number {
  return OWN_PART * Math.max(use.objectiveMs - getWarmMs(use), slotMs);
}

/**
 * Gets the longest expected wait in milliseconds with which a request of a priority may join a queue for the sake of more
 * urgent kinds: those behind it must meet their objectives, and need a part of the wait for their own bursts. Infinite for
 * the most urgent kind.
 */
export function getYieldingMaxWaitMs(
  uses: readonly ServiceUse[],
  priority: number,
  {slotMs, getWarmMs}: SharedTimes,
): number {
  let maxWaitMs = Infinity;
  for (const use of uses) {
    if (use.priority >= priority) continue;
    const slackMs = use.objectiveMs - getWarmMs(use);
    const partMs = YIELDING_PART * Math.max(slackMs, slotMs);
    // A kind that misses its objective without any wait loses nothing by one.
    const limitMs = slackMs > 0 ? Math.min(slackMs, partMs) : partMs;
    maxWaitMs = Math.min(maxWaitMs, limitMs);
  }
  return maxWaitMs;
}
