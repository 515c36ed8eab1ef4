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

/** Busy slots of one service, averaged over time. */
interface Busy {
  readonly inFlightCount: number;
  readonly averageSlots: number;
  readonly asOfMs: number;
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
  private readonly busy = new Map<string, Busy>();
  private readonly capacities = new Map<string, ReadonlyMap<string, number>>();
  private readonly credit = new Map<string, number>();
  private updatedAtMs: number | undefined;

  /** @param region The region whose callers come to this VM. */
  constructor(region: string, register: registers.UpstreamRegister) {
    this.region = region;
    this.register = register;
  }

  /** Counts a request that an upstream of a service gets or has ended. */
  addInFlight(serviceId: string, change: 1 | -1, nowMs: number): void {
    const known = this.busy.get(serviceId);
    const count = known?.inFlightCount ?? 0;
    this.busy.set(serviceId, {
      inFlightCount: count + change,
      averageSlots: getAverage(known, nowMs),
      asOfMs: nowMs,
    });
  }

  /** Gets the slots that this VM's callers keep busy. */
  getOwnDemands(): readonly entry.ServiceDemand[] {
    return [...this.busy].map(([serviceId, busy]) => ({
      serviceId,
      busySlots: busy.averageSlots,
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
        this.busy.set(serviceId, {
          ...known,
          averageSlots: getAverage(known, nowMs),
          asOfMs: nowMs,
        });
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
    const add = (region: string, slots: number) =>
      demands.set(region, (demands.get(region) ?? 0) + slots);
    add(this.region, this.busy.get(serviceId)?.averageSlots ?? 0);
    for (const {member, serviceDemands} of statuses)
      for (const demand of serviceDemands)
        if (demand.serviceId === serviceId)
          add(member.region, demand.busySlots);
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
      capacitySlots: capacities.get(region) ?? 0,
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

function getAverage(busy: Busy | undefined, nowMs: number): number {
  if (busy === undefined) return 0;
  const weight = Math.exp(-(nowMs - busy.asOfMs) / DEMAND_TERM_MS);
  return busy.inFlightCount + (busy.averageSlots - busy.inFlightCount) * weight;
}
