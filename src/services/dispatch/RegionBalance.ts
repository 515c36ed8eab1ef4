import * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';
import type * as registers from './UpstreamRegister.js';

/** Time in milliseconds over which busy slots are averaged: long beside a burst, short beside a day's wave. */
const DEMAND_TERM_MS = 4000;

/** How far shares move in a second as demand changes, as a part of all objects. */
const DEMAND_STEP_PER_SECOND = 0.02;

/** Shares move this much more when a region's room changes by its whole. */
const ROOM_STEP = 1;

/** Changes of shares below this are left, so that objects stay where they are warm. */
const MIN_STEP = 0.04;

/** The most that shares may move at once. */
const MAX_CREDIT = 1;

/** The utilisation that is assumed of every region before any demand is known. */
const FIRST_UTILISATION = 0.5;

/** How much of the assumed demand of one region must be measured over all before measurements are trusted. */
const TRUSTED_PART = 0.5;

const MS_PER_SECOND = 1000;

/** The least part of a region's slots that counts as room for free requests, however many bound ones run there. */
const MIN_FREE_PART = 0.1;

/** Busy slots, averaged over time. */
interface Busy {
  readonly inFlightCount: number;
  readonly averageSlots: number;
  readonly asOfMs: number;
}

/** Busy slots of one service. */
interface ServiceBusy {
  /** Those of requests that may run in any region. */
  readonly free: Busy;

  /** Those of requests that may run in some regions only, by the region in which they run. */
  readonly bound: ReadonlyMap<string, Busy>;
}

/** A change of the shares of one service, with what decided it. */
export interface SharesMoved {
  readonly serviceId: string;
  readonly shares: decisions.RegionShares;
  readonly loads: readonly decisions.RegionLoad[];
}

/** Keeps each service's objects divided over the regions by room and demand. */
export class RegionBalance {
  private readonly region: string;
  private readonly register: registers.UpstreamRegister;
  private readonly busy = new Map<string, ServiceBusy>();
  private readonly capacities = new Map<string, ReadonlyMap<string, number>>();
  private readonly credit = new Map<string, number>();
  private updatedAtMs: number | undefined;

  /** @param region The region whose callers come to this VM. */
  constructor(region: string, register: registers.UpstreamRegister) {
    this.region = region;
    this.register = register;
  }

  /**
   * Counts a request that an upstream of a service gets or has ended.
   *
   * @param boundTo The region in which it runs, if it may not run in all of them.
   */
  addInFlight(
    serviceId: string,
    boundTo: string | undefined,
    change: 1 | -1,
    nowMs: number,
  ): void {
    const {free, bound} = this.busy.get(serviceId) ?? IDLE_SERVICE;
    this.busy.set(
      serviceId,
      boundTo === undefined
        ? {free: addChange(free, change, nowMs), bound}
        : {
            free,
            bound: new Map(bound).set(
              boundTo,
              addChange(bound.get(boundTo) ?? IDLE, change, nowMs),
            ),
          },
    );
  }

  /** Gets the slots that this VM's callers keep busy. */
  getOwnDemands(): readonly entry.ServiceDemand[] {
    return [...this.busy].map(([serviceId, {free, bound}]) => ({
      serviceId,
      busySlots: free.averageSlots,
      boundSlots: new Map(
        [...bound].map(([region, busy]) => [region, busy.averageSlots]),
      ),
    }));
  }

  /** Moves the shares of all services towards what demand and room ask for; gives those that moved. */
  update(
    serviceIds: readonly string[],
    statuses: readonly entry.MemberStatus[],
    nowMs: number,
  ): readonly SharesMoved[] {
    const moves: SharesMoved[] = [];
    const elapsedMs = nowMs - (this.updatedAtMs ?? nowMs);
    this.updatedAtMs = nowMs;
    for (const serviceId of serviceIds) {
      const known = this.busy.get(serviceId);
      if (known !== undefined)
        this.busy.set(serviceId, getBusyAt(known, nowMs));
      const move = this.updateService(serviceId, statuses, elapsedMs);
      if (move !== undefined) moves.push(move);
    }
    return moves;
  }

  private updateService(
    serviceId: string,
    statuses: readonly entry.MemberStatus[],
    elapsedMs: number,
  ): SharesMoved | undefined {
    const capacities = this.register.getCapacities(serviceId);
    if (capacities.size === 0) return undefined;
    const loads = this.getLoads(serviceId, capacities, statuses);
    const target = decisions.getRegionShares(loads, this.region);
    const current = this.register.getShares(serviceId);
    const roomChange = this.getRoomChange(serviceId, capacities);
    this.capacities.set(serviceId, capacities);
    if (current === undefined) {
      this.register.setShares(serviceId, target);
      return {serviceId, shares: target, loads};
    }
    // Small changes are saved up, so that objects stay where they are warm.
    this.credit.set(
      serviceId,
      Math.min(
        MAX_CREDIT,
        (this.credit.get(serviceId) ?? 0) +
          (DEMAND_STEP_PER_SECOND * elapsedMs) / MS_PER_SECOND +
          ROOM_STEP * roomChange,
      ),
    );
    const maxStep = this.credit.get(serviceId) ?? 0;
    const next = decisions.stepShares(current, target, maxStep);
    const moved = decisions.getDistance(current, next);
    if (moved < MIN_STEP) return undefined;
    this.credit.set(serviceId, maxStep - moved);
    this.register.setShares(serviceId, next);
    return {serviceId, shares: next, loads};
  }

  private getLoads(
    serviceId: string,
    capacities: ReadonlyMap<string, number>,
    statuses: readonly entry.MemberStatus[],
  ): readonly decisions.RegionLoad[] {
    const demands = new Map<string, number>();
    const bound = new Map<string, number>();
    const own = this.busy.get(serviceId) ?? IDLE_SERVICE;
    add(demands, this.region, own.free.averageSlots);
    for (const [region, busy] of own.bound)
      add(bound, region, busy.averageSlots);
    for (const {member, serviceDemands} of statuses)
      for (const demand of serviceDemands) {
        if (demand.serviceId !== serviceId) continue;
        add(demands, member.region, demand.busySlots);
        for (const [region, slots] of demand.boundSlots)
          add(bound, region, slots);
      }
    const capacity = [...capacities.values()].reduce((a, b) => a + b, 0);
    const regions = new Set([...capacities.keys(), this.region]);
    const prior = (FIRST_UTILISATION * capacity) / regions.size;
    const measured = [...demands.values()].reduce((a, b) => a + b, 0);
    // Before traffic has come the regions are taken to be alike.
    const trust = Math.min(
      1,
      (TRUSTED_PART * measured) / (prior + Number.EPSILON),
    );
    return [...regions].map(region => ({
      region,
      demandSlots: trust * (demands.get(region) ?? 0) + (1 - trust) * prior,
      capacitySlots: getFreeSlots(
        capacities.get(region) ?? 0,
        bound.get(region) ?? 0,
      ),
    }));
  }

  /** Gets the part by which the room of any region has changed since the last update. */
  private getRoomChange(
    serviceId: string,
    capacities: ReadonlyMap<string, number>,
  ): number {
    const known = this.capacities.get(serviceId);
    if (known === undefined) return 1;
    let change = 0;
    for (const region of new Set([...known.keys(), ...capacities.keys()])) {
      const before = known.get(region) ?? 0;
      const after = capacities.get(region) ?? 0;
      const part = Math.abs(after - before) / Math.max(before, after, 1);
      change = Math.max(change, part);
    }
    return change;
  }
}

const IDLE: Busy = {inFlightCount: 0, averageSlots: 0, asOfMs: 0};

const IDLE_SERVICE: ServiceBusy = {free: IDLE, bound: new Map()};

function add(
  slots: Map<string, number>,
  region: string,
  addedSlots: number,
): void {
  slots.set(region, (slots.get(region) ?? 0) + addedSlots);
}

/** Gets the slots of a region that are left to free requests. */
function getFreeSlots(capacitySlots: number, boundSlots: number): number {
  return Math.max(capacitySlots * MIN_FREE_PART, capacitySlots - boundSlots);
}

/** Averages the busy slots of a service up to now. */
function getBusyAt({free, bound}: ServiceBusy, nowMs: number): ServiceBusy {
  return {
    free: addChange(free, 0, nowMs),
    bound: new Map(
      [...bound].map(([region, busy]) => [region, addChange(busy, 0, nowMs)]),
    ),
  };
}

function addChange(busy: Busy, change: number, nowMs: number): Busy {
  return {
    inFlightCount: busy.inFlightCount + change,
    averageSlots: getAverage(busy, nowMs),
    asOfMs: nowMs,
  };
}

function getAverage(busy: Busy, nowMs: number): number {
  const weight = Math.exp(-(nowMs - busy.asOfMs) / DEMAND_TERM_MS);
  return busy.inFlightCount + (busy.averageSlots - busy.inFlightCount) * weight;
}
