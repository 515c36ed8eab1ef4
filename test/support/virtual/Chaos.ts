import * as excess from './getExcess.js';
import * as fleets from './VirtualFleet.js';
import * as worlds from './VirtualWorld.js';

const FLEET_SIZE = 7;
const FAULT_INTERVAL_MS = 1500;
const OBSERVATION_INTERVAL_MS = 100;
const MAX_FAULT_MS = 20_000;
const BURST_MS = 1500;
const MAX_PAUSE_MS = 6000;

/** Time in milliseconds within which an accepted change is in force or the VM knows that it is not fresh. */
const SPREAD_LIMIT_MS = 9000;

const ORGANISATIONS: Readonly<Record<string, fleets.TestOrganisation>> = {
  small: {ratePerSecond: 20, burstRequests: 5},
  middle: {ratePerSecond: 20, burstRequests: 20},
  large: {ratePerSecond: 60, burstRequests: 100},
};

/** What a run under random faults found. */
export interface ChaosReport {
  /** What must never happen and did; empty in a good run. */
  readonly violations: readonly string[];

  readonly admittedCount: number;
  readonly acceptedCount: number;
  readonly faultCount: number;
}

/** Random faults over seven nodes, with what must always hold checked all along. */
export class Chaos {
  private readonly fleet: fleets.VirtualFleet;
  private readonly violations: string[] = [];
  private readonly versions: number[] = [];
  private readonly accepted: {version: number; atMs: number}[] = [];
  private faultCount = 0;
  private changeCount = 0;
  private restarting = new Set<number>();

  /** @param seed Decides the faults, the delays and the arrivals. */
  constructor(seed: number) {
    this.fleet = new fleets.VirtualFleet(seed, FLEET_SIZE);
  }

  /** Runs for a while of virtual time. */
  async run(durationMs: number): Promise<ChaosReport> {
    await this.fleet.start(ORGANISATIONS);
    const {world} = this.fleet;
    world.network = {
      lossFraction: 0.03,
      minDelayMs: 1,
      maxDelayMs: 40,
      lateFraction: 0.03,
      lateMs: 4000,
    };
    const endMs = world.nowMs() + durationMs;
    this.repeat(endMs, FAULT_INTERVAL_MS, () => this.injectFault());
    this.repeat(endMs, FAULT_INTERVAL_MS * 2, () => this.change());
    this.repeat(endMs, OBSERVATION_INTERVAL_MS, () => this.observe());
    for (const id of Object.keys(ORGANISATIONS)) this.addBursts(id, endMs);
    await world.runUntil(endMs + 3000);
    return this.getReport();
  }

  private repeat(endMs: number, intervalMs: number, action: () => void): void {
    const {world} = this.fleet;
    const next = () => {
      if (world.nowMs() >= endMs) return;
      action();
      world.at(world.nowMs() + intervalMs, next);
    };
    world.at(world.nowMs() + intervalMs, next);
  }

  /** Lets requests come in bursts after quiet times, in which the buckets fill. */
  private addBursts(organisationId: string, endMs: number): void {
    const {world} = this.fleet;
    if (world.nowMs() >= endMs) return;
    const {ratePerSecond, burstRequests} = ORGANISATIONS[organisationId];
    const perSecond = 2 * (ratePerSecond + burstRequests);
    this.fleet.addArrivals(organisationId, perSecond, BURST_MS);
    const pauseMs = world.getRandom() * MAX_PAUSE_MS;
    world.at(world.nowMs() + BURST_MS + pauseMs, () =>
      this.addBursts(organisationId, endMs),
    );
  }

  private injectFault(): void {
    const {world} = this.fleet;
    const index = Math.floor(world.getRandom() * FLEET_SIZE);
    const lastsMs = 200 + world.getRandom() ** 2 * MAX_FAULT_MS;
    this.faultCount += 1;
    switch (Math.floor(world.getRandom() * 6)) {
      case 0:
        this.restart(index, lastsMs);
        return;
      case 1:
        this.fleet.getNode(index).pausedUntilMs = world.nowMs() + lastsMs;
        return;
      case 2:
        this.fleet.setIsolated(index, true);
        world.at(world.nowMs() + lastsMs, () =>
          this.fleet.setIsolated(index, false),
        );
        return;
      case 3:
        this.setStore(['refuse', 'hang', 'loseAnswers'], '', lastsMs);
        return;
      case 4:
        this.setStore(['refuse', 'hang'], this.getAddress(index), lastsMs);
        return;
      case 5:
        this.cutInTwo(lastsMs);
        return;
    }
  }

  private restart(index: number, afterMs: number): void {
    if (this.restarting.has(index)) return;
    const {world} = this.fleet;
    this.restarting.add(index);
    this.fleet.getNode(index).kill();
    world.at(world.nowMs() + afterMs, () => {
      void this.fleet.startNode(index).then(() => {
        this.restarting.delete(index);
        this.versions[index] = 0;
      });
    });
  }

  private setStore(
    faults: readonly worlds.PlatformFault[],
    address: string,
    lastsMs: number,
  ): void {
    const {world} = this.fleet;
    const index = Math.floor(world.getRandom() * faults.length);
    world.setPlatformFault(faults[index], address);
    world.at(world.nowMs() + lastsMs, () =>
      world.setPlatformFault('none', address),
    );
  }

  private cutInTwo(lastsMs: number): void {
    const {world} = this.fleet;
    const sides = Array.from({length: FLEET_SIZE}, () => world.getRandom());
    const setCuts = (isCut: boolean) =>
      sides.forEach((side, a) =>
        sides.forEach((other, b) => {
          if (side < 0.5 && other >= 0.5)
            world.setCut(this.getAddress(a), this.getAddress(b), isCut);
        }),
      );
    setCuts(true);
    world.at(world.nowMs() + lastsMs, () => setCuts(false));
  }

  private getAddress(index: number): string {
    return this.fleet.getNode(index).address;
  }

  /** Patches through a random node, as two operators who race do. */
  private change(): void {
    const {world} = this.fleet;
    for (let racer = 0; racer < 2; racer += 1) {
      const node = this.fleet.getNode(
        Math.floor(world.getRandom() * FLEET_SIZE),
      );
      this.changeCount += 1;
      const name = `change-${this.changeCount}`;
      const patch = {organisations: {small: {name}}};
      const baseVersion = this.getNewestVersion();
      void node.patch(baseVersion, patch, name).then(result => {
        if (result.kind !== 'committed' || !node.isAlive) return;
        if (!result.spread.isAccepted) return;
        const {version} = result;
        this.accepted.push({version, atMs: world.nowMs()});
      });
    }
  }

  private getNewestVersion(): number {
    return Math.max(1, ...this.versions.map(version => version || 0));
  }

  /** Checks that no version reverts, and that no node uses one that is out of date. */
  private observe(): void {
    const {world} = this.fleet;
    const nowMs = world.nowMs();
    for (let index = 0; index < FLEET_SIZE; index += 1) {
      const node = this.fleet.getNode(index);
      if (!node.isAlive || node.pausedUntilMs > nowMs) continue;
      const version = node.getConfigurationVersion();
      const before = this.versions[index] ?? 0;
      if (version < before && !this.restarting.has(index))
        this.violations.push(`node ${index} went from ${before} to ${version}`);
      this.versions[index] = version;
      if (!node.isFresh()) continue;
      for (const change of this.accepted)
        if (nowMs - change.atMs > SPREAD_LIMIT_MS && version < change.version)
          this.violations.push(
            `node ${index} uses ${version} though ${change.version} was accepted ${nowMs - change.atMs} ms ago`,
          );
    }
  }

  private getReport(): ChaosReport {
    let admittedCount = 0;
    for (const [id, limits] of Object.entries(ORGANISATIONS)) {
      const admitted = this.fleet
        .getArrivals(id)
        .flatMap(arrival => arrival.admittedAtMs ?? []);
      admittedCount += admitted.length;
      const {ratePerSecond, burstRequests: burst} = limits;
      const over = excess.getExcess(admitted, {ratePerSecond, burst});
      if (over > 1e-6)
        this.violations.push(`${id} is over its window by ${over}`);
    }
    return {
      violations: this.violations,
      admittedCount,
      acceptedCount: this.accepted.length,
      faultCount: this.faultCount,
    };
  }
}
