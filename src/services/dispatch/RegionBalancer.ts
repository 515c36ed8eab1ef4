import * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';
import type * as registries from './UpstreamRegistry.js';

/** Time over which busy slots are averaged: long compared to a burst, short compared to the daily cycle. */
const DEMAND_AVERAGING_MS = 4000;

/** Fraction of all objects that may change region per second because of changed demand. */
const SHIFT_CREDIT_PER_SECOND = 0.02;

/** Fraction of all objects that may change region when a region gains or loses all its capacity; less in proportion. */
const CAPACITY_CHANGE_CREDIT_RATIO = 1;

/** Smaller changes of the shares are not applied, so that objects stay where they are warm. */
const MIN_SHIFT_FRACTION = 0.04;

/** The largest fraction of all objects that may change region at once. */
const MAX_SHIFT_CREDIT_FRACTION = 1;

/** Utilisation that is assumed for every region until demand is measured. */
const ASSUMED_UTILISATION_RATIO = 0.5;

/**
 * Weight of measured demand against the assumed one: this ratio times the total measured over the assumed demand of a
 * region, at most 1, so that measurements are not trusted before there is enough demand to measure.
 */
const MEASURED_DEMAND_WEIGHT_RATIO = 0.5;

/**
 * How long after a start stored shares stay as they are while capacity does not change. Until then the averages of
 * demand are still rising from 0, so that every region appears to have room for all of its objects.
 */
const STORED_SHARES_TERM_MS = 2 * DEMAND_AVERAGING_MS;

const MS_PER_SECOND = 1000;

/** Smallest fraction of a region's slots that is left for free requests, however many bound requests run there. */
const MIN_FREE_FRACTION = 0.1;

/** The number of busy slots now and its average over time. */
interface BusySlots {
  readonly inFlightCount: number;
  readonly averageSlots: number;
  readonly averagedAtMs: number;
}

/** The busy slots of one service. */
interface ServiceBusySlots {
  /** The slots of free requests: those that may run in any region. */
  readonly free: BusySlots;

  /** The slots of bound requests, which may run in some regions only, by the region in which they run. */
  readonly bound: ReadonlyMap<string, BusySlots>;
}

/** A change of one service's shares, with the regional loads that caused it. */
export interface SharesMoved {
  readonly serviceId: string;
  readonly shares: decisions.RegionShares;
  readonly loads: readonly decisions.RegionLoad[];

  /** The slot count of each region's upstreams. */
  readonly capacities: ReadonlyMap<string, number>;

  /** Whether these are the first shares, which assumed demand decided. */
  readonly isInitial: boolean;
}

/** Divides each service's objects among the regions by capacity and demand. */
export class RegionBalancer {
  private readonly region: string;
  private readonly registry: registries.UpstreamRegistry;
  private readonly busy = new Map<string, ServiceBusySlots>();
  private readonly capacities = new Map<string, ReadonlyMap<string, number>>();
  private readonly shiftCredits = new Map<string, number>();
  private readonly storedShares = new Map<string, entry.StoredShares>();
  private readonly keptUntilMs = new Map<string, number>();
  private updatedAtMs: number | undefined;

  /** @param region The region of this VM and its callers. */
  constructor(region: string, registry: registries.UpstreamRegistry) {
    this.region = region;
    this.registry = registry;
  }

  /**
   * Counts a request of a service that starts or ends.
   *
   * @param boundRegion The region in which the request runs; undefined if it may run in any region.
   * @param change 1 when an upstream gets the request, -1 when it has ended.
   * @param nowMs Monotonic time in milliseconds.
   */
  addInFlight(
    serviceId: string,
    boundRegion: string | undefined,
    change: 1 | -1,
    nowMs: number,
  ): void {
    const {free, bound} = this.busy.get(serviceId) ?? IDLE_SERVICE;
    this.busy.set(
      serviceId,
      boundRegion === undefined
        ? {free: applyChange(free, change, nowMs), bound}
        : {
            free,
            bound: new Map(bound).set(
              boundRegion,
              applyChange(bound.get(boundRegion) ?? IDLE_SLOTS, change, nowMs),
            ),
          },
    );
  }

  /** Sets the shares with which services start whose shares have not been decided yet. */
  setStoredShares(services: readonly entry.StoredShares[]): void {
    for (const stored of services)
      this.storedShares.set(stored.serviceId, stored);
  }

  /** Gets the average number of slots of each service that this VM's callers keep busy. */
  getOwnDemands(): readonly entry.ServiceDemand[] {
    return [...this.busy].map(([serviceId, {free, bound}]) => ({
      serviceId,
      busySlots: free.averageSlots,
      boundSlots: new Map(
        [...bound].map(([region, busy]) => [region, busy.averageSlots]),
      ),
    }));
  }

  /** Moves the shares of the services towards those that fit demand and capacity. Returns the shares that changed. */
  update(
    serviceIds: readonly string[],
    statuses: readonly entry.MemberStatus[],
    nowMs: number,
  ): readonly SharesMoved[] {
    const moves: SharesMoved[] = [];
    const elapsedMs = nowMs - (this.updatedAtMs ?? nowMs);
    this.updatedAtMs = nowMs;
    for (const serviceId of serviceIds) {
      const serviceBusy = this.busy.get(serviceId);
      if (serviceBusy !== undefined)
        this.busy.set(serviceId, averageServiceUntil(serviceBusy, nowMs));
      const move = this.updateService(serviceId, statuses, elapsedMs, nowMs);
      if (move !== undefined) moves.push(move);
    }
    return moves;
  }

  private updateService(
    serviceId: string,
    statuses: readonly entry.MemberStatus[],
    elapsedMs: number,
    nowMs: number,
  ): SharesMoved | undefined {
    const capacities = this.registry.getCapacities(serviceId);
    if (capacities.size === 0) return undefined;
    const loads = this.getLoads(
      serviceId,
      this.registry.getEffectiveCapacities(serviceId, nowMs),
      statuses,
    );
    const target = decisions.getRegionShares(loads, this.region);
    const current =
      this.registry.getShares(serviceId) ??
      this.restoreShares(serviceId, nowMs);
    // A changed speed is no change of capacity here: it would let objects change region several times per second.
    const capacityChange = this.getCapacityChange(serviceId, capacities);
    this.capacities.set(serviceId, capacities);
    if (current === undefined) {
      this.registry.setShares(serviceId, target);
      return {serviceId, shares: target, capacities, loads, isInitial: true};
    }
    // Credit accumulates until a change is large enough to apply, so that objects stay where they are warm.
    this.shiftCredits.set(
      serviceId,
      Math.min(
        MAX_SHIFT_CREDIT_FRACTION,
        (this.shiftCredits.get(serviceId) ?? 0) +
          this.getDemandCredit(serviceId, elapsedMs, nowMs) +
          CAPACITY_CHANGE_CREDIT_RATIO * capacityChange,
      ),
    );
    const maxShift = this.shiftCredits.get(serviceId) ?? 0;
    const next = decisions.moveSharesTowards(current, target, maxShift);
    const movedFraction = decisions.getMovedShare(current, next);
    if (movedFraction < MIN_SHIFT_FRACTION) return undefined;
    this.shiftCredits.set(serviceId, maxShift - movedFraction);
    this.registry.setShares(serviceId, next);
    return {serviceId, shares: next, capacities, loads, isInitial: false};
  }

  /** Starts a service with its stored shares. A change of capacity since they were stored counts as one now. */
  private restoreShares(
    serviceId: string,
    nowMs: number,
  ): decisions.RegionShares | undefined {
    const stored = this.storedShares.get(serviceId);
    if (stored === undefined) return undefined;
    this.storedShares.delete(serviceId);
    this.registry.setShares(serviceId, stored.shares);
    this.capacities.set(serviceId, stored.capacities);
    this.keptUntilMs.set(serviceId, nowMs + STORED_SHARES_TERM_MS);
    return stored.shares;
  }

  /** Gets the fraction of all objects that may change region because of demand, for the time since the last update. */
  private getDemandCredit(
    serviceId: string,
    elapsedMs: number,
    nowMs: number,
  ): number {
    return nowMs < (this.keptUntilMs.get(serviceId) ?? -Infinity)
      ? 0
      : (SHIFT_CREDIT_PER_SECOND * elapsedMs) / MS_PER_SECOND;
  }

  private getLoads(
    serviceId: string,
    capacities: ReadonlyMap<string, number>,
    statuses: readonly entry.MemberStatus[],
  ): readonly decisions.RegionLoad[] {
    const demands = new Map<string, number>();
    const bound = new Map<string, number>();
    const own = this.busy.get(serviceId) ?? IDLE_SERVICE;
    addSlots(demands, this.region, own.free.averageSlots);
    for (const [region, busy] of own.bound)
      addSlots(bound, region, busy.averageSlots);
    for (const {member, serviceDemands} of statuses)
      for (const demand of serviceDemands) {
        if (demand.serviceId !== serviceId) continue;
        addSlots(demands, member.region, demand.busySlots);
        for (const [region, slots] of demand.boundSlots)
          addSlots(bound, region, slots);
      }
    const totalCapacitySlots = [...capacities.values()].reduce(
      (a, b) => a + b,
      0,
    );
    const regions = new Set([...capacities.keys(), this.region]);
    const assumedSlots =
      (ASSUMED_UTILISATION_RATIO * totalCapacitySlots) / regions.size;
    const measuredSlots = [...demands.values()].reduce((a, b) => a + b, 0);
    // Before there is traffic, all regions are assumed to have the same demand.
    const measuredWeight = Math.min(
      1,
      (MEASURED_DEMAND_WEIGHT_RATIO * measuredSlots) /
        (assumedSlots + Number.EPSILON),
    );
    return [...regions].map(region => ({
      region,
      demandSlots:
        measuredWeight * (demands.get(region) ?? 0) +
        (1 - measuredWeight) * assumedSlots,
      capacitySlots: getFreeSlots(
        capacities.get(region) ?? 0,
        bound.get(region) ?? 0,
      ),
    }));
  }

  /** Gets the largest fraction by which the capacity of a region has changed since the last update. */
  private getCapacityChange(
    serviceId: string,
    capacities: ReadonlyMap<string, number>,
  ): number {
    const previous = this.capacities.get(serviceId);
    if (previous === undefined) return 1;
    let change = 0;
    for (const region of new Set([...previous.keys(), ...capacities.keys()])) {
      const before = previous.get(region) ?? 0;
      const after = capacities.get(region) ?? 0;
      const changedFraction =
        Math.abs(after - before) / Math.max(before, after, 1);
      change = Math.max(change, changedFraction);
    }
    return change;
  }
}

const IDLE_SLOTS: BusySlots = {
  inFlightCount: 0,
  averageSlots: 0,
  averagedAtMs: 0,
};

const IDLE_SERVICE: ServiceBusySlots = {free: IDLE_SLOTS, bound: new Map()};

function addSlots(
  slots: Map<string, number>,
  region: string,
  addedSlots: number,
): void {
  slots.set(region, (slots.get(region) ?? 0) + addedSlots);
}

/** Gets the number of a region's slots that are left for free requests. */
function getFreeSlots(capacitySlots: number, boundSlots: number): number {
  return Math.max(
    capacitySlots * MIN_FREE_FRACTION,
    capacitySlots - boundSlots,
  );
}

/** Updates the averages of a service's busy slots to `nowMs`. */
function averageServiceUntil(
  {free, bound}: ServiceBusySlots,
  nowMs: number,
): ServiceBusySlots {
  return {
    free: applyChange(free, 0, nowMs),
    bound: new Map(
      [...bound].map(([region, busy]) => [region, applyChange(busy, 0, nowMs)]),
    ),
  };
}

function applyChange(
  busy: BusySlots,
  change: number,
  nowMs: number,
): BusySlots {
  return {
    inFlightCount: busy.inFlightCount + change,
    averageSlots: getAverageSlots(busy, nowMs),
    averagedAtMs: nowMs,
  };
}

function getAverageSlots(busy: BusySlots, nowMs: number): number {
  const weight = Math.exp(-(nowMs - busy.averagedAtMs) / DEMAND_AVERAGING_MS);
  return busy.inFlightCount + (busy.averageSlots - busy.inFlightCount) * weight;
}
