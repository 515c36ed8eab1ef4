import * as excess from './getRateLimitExcess.js';
import * as fleets from './VirtualFleet.js';
import * as simulations from './Simulation.js';

/** Number of nodes. */
const FLEET_SIZE = 7;
const FAULT_INTERVAL_MS = 1500;
const CHECK_INTERVAL_MS = 100;
const MAX_FAULT_DURATION_MS = 20_000;

/** How long a burst of requests lasts, and the longest gap between two bursts, in milliseconds. */
const ARRIVAL_BURST_MS = 1500;
const MAX_BURST_GAP_MS = 6000;

/**
 * Time limit in milliseconds after the acceptance of a change, by which each node must have the change in force or know
 * that its view of the fleet is not fresh.
 */
const PROPAGATION_LIMIT_MS = 9000;

const ORGANISATIONS: Readonly<Record<string, fleets.TestOrganisation>> = {
  small: {ratePerSecond: 20, burstRequests: 5},
  middle: {ratePerSecond: 20, burstRequests: 20},
  large: {ratePerSecond: 60, burstRequests: 100},
};

/** The result of a simulation with random faults. */
export interface ChaosReport {
  /** The invariants that were violated, one text each; empty if all held. */
  readonly violations: readonly string[];

  /** Number of requests that were admitted. */
  readonly admittedCount: number;

  /** Number of configuration changes that were accepted. */
  readonly acceptedCount: number;

  /** Number of faults that were injected. */
  readonly faultCount: number;
}

/** Simulates seven nodes under random faults and checks the invariants throughout. */
export class ChaosSimulation {
  private readonly fleet: fleets.VirtualFleet;
  private readonly violations: string[] = [];
  private readonly lastVersions: number[] = [];
  private readonly accepted: {version: number; atMs: number}[] = [];
  private faultCount = 0;
  private changeCount = 0;
  private restartingNodes = new Set<number>();

  /** @param seed Seeds the faults, the message delays and the arrivals of requests. */
  constructor(seed: number) {
    this.fleet = new fleets.VirtualFleet(seed, FLEET_SIZE);
  }

  /** Runs `durationMs` milliseconds of virtual time and 3 seconds more in which no new faults start. */
  async run(durationMs: number): Promise<ChaosReport> {
    await this.fleet.start(ORGANISATIONS);
    const {simulation: simulation} = this.fleet;
    simulation.network = {
      lossFraction: 0.03,
      minDelayMs: 1,
      maxDelayMs: 40,
      extraDelayFraction: 0.03,
      maxExtraDelayMs: 4000,
    };
    const endMs = simulation.nowMs() + durationMs;
    this.repeat(endMs, FAULT_INTERVAL_MS, () => this.injectFault());
    this.repeat(endMs, FAULT_INTERVAL_MS * 2, () => this.patchConcurrently());
    this.repeat(endMs, CHECK_INTERVAL_MS, () => this.observe());
    for (const id of Object.keys(ORGANISATIONS)) this.addBursts(id, endMs);
    await simulation.runUntil(endMs + 3000);
    return this.getReport();
  }

  private repeat(endMs: number, intervalMs: number, action: () => void): void {
    const {simulation: simulation} = this.fleet;
    const runNext = () => {
      if (simulation.nowMs() >= endMs) return;
      action();
      simulation.at(simulation.nowMs() + intervalMs, runNext);
    };
    simulation.at(simulation.nowMs() + intervalMs, runNext);
  }

  /** Schedules bursts of requests with gaps between them, in which the token buckets refill. */
  private addBursts(organisationId: string, endMs: number): void {
    const {simulation: simulation} = this.fleet;
    if (simulation.nowMs() >= endMs) return;
    const {ratePerSecond, burstRequests} = ORGANISATIONS[organisationId];
    const requestsPerSecond = 2 * (ratePerSecond + burstRequests);
    this.fleet.addArrivals(organisationId, requestsPerSecond, ARRIVAL_BURST_MS);
    const burstGapMs = simulation.getRandom() * MAX_BURST_GAP_MS;
    simulation.at(simulation.nowMs() + ARRIVAL_BURST_MS + burstGapMs, () =>
      this.addBursts(organisationId, endMs),
    );
  }

  private injectFault(): void {
    const {simulation: simulation} = this.fleet;
    const index = Math.floor(simulation.getRandom() * FLEET_SIZE);
    const faultDurationMs =
      200 + simulation.getRandom() ** 2 * MAX_FAULT_DURATION_MS;
    this.faultCount += 1;
    switch (Math.floor(simulation.getRandom() * 6)) {
      case 0:
        this.restart(index, faultDurationMs);
        return;
      case 1:
        this.fleet.getNode(index).pausedUntilMs =
          simulation.nowMs() + faultDurationMs;
        return;
      case 2:
        this.fleet.setIsolated(index, true);
        simulation.at(simulation.nowMs() + faultDurationMs, () =>
          this.fleet.setIsolated(index, false),
        );
        return;
      case 3:
        this.injectPlatformFault(
          ['refuse', 'hang', 'loseAnswers'],
          '',
          faultDurationMs,
        );
        return;
      case 4:
        this.injectPlatformFault(
          ['refuse', 'hang'],
          this.getAddress(index),
          faultDurationMs,
        );
        return;
      case 5:
        this.partitionNetwork(faultDurationMs);
        return;
    }
  }

  private restart(index: number, afterMs: number): void {
    if (this.restartingNodes.has(index)) return;
    const {simulation: simulation} = this.fleet;
    this.restartingNodes.add(index);
    this.fleet.getNode(index).kill();
    simulation.at(simulation.nowMs() + afterMs, () => {
      void this.fleet.startNode(index).then(() => {
        this.restartingNodes.delete(index);
        this.lastVersions[index] = 0;
      });
    });
  }

  private injectPlatformFault(
    faults: readonly simulations.PlatformFault[],
    address: string,
    faultDurationMs: number,
  ): void {
    const {simulation: simulation} = this.fleet;
    const index = Math.floor(simulation.getRandom() * faults.length);
    simulation.setPlatformFault(faults[index], address);
    simulation.at(simulation.nowMs() + faultDurationMs, () =>
      simulation.setPlatformFault('none', address),
    );
  }

  private partitionNetwork(faultDurationMs: number): void {
    const {simulation: simulation} = this.fleet;
    const sideValues = Array.from({length: FLEET_SIZE}, () =>
      simulation.getRandom(),
    );
    const setCuts = (isCut: boolean) =>
      sideValues.forEach((side, a) =>
        sideValues.forEach((other, b) => {
          if (side < 0.5 && other >= 0.5)
            simulation.setLinkCut(
              this.getAddress(a),
              this.getAddress(b),
              isCut,
            );
        }),
      );
    setCuts(true);
    simulation.at(simulation.nowMs() + faultDurationMs, () => setCuts(false));
  }

  private getAddress(index: number): string {
    return this.fleet.getNode(index).address;
  }

  /** Sends two configuration changes on the same version through random nodes, as two concurrent operators would. */
  private patchConcurrently(): void {
    const {simulation: simulation} = this.fleet;
    for (let patchIndex = 0; patchIndex < 2; patchIndex += 1) {
      const node = this.fleet.getNode(
        Math.floor(simulation.getRandom() * FLEET_SIZE),
      );
      this.changeCount += 1;
      const name = `change-${this.changeCount}`;
      const patch = {organisations: {small: {name}}};
      const baseVersion = this.getNewestVersion();
      void node.patch(baseVersion, patch, name).then(result => {
        if (result.kind !== 'committed' || !node.isAlive) return;
        if (!result.spread.isAccepted) return;
        const {version} = result;
        this.accepted.push({version, atMs: simulation.nowMs()});
      });
    }
  }

  private getNewestVersion(): number {
    return Math.max(1, ...this.lastVersions.map(version => version || 0));
  }

  /** Checks that no node goes back to an older configuration version and that no fresh node uses an outdated one. */
  private observe(): void {
    const {simulation: simulation} = this.fleet;
    const nowMs = simulation.nowMs();
    for (let index = 0; index < FLEET_SIZE; index += 1) {
      const node = this.fleet.getNode(index);
      if (!node.isAlive || node.pausedUntilMs > nowMs) continue;
      const version = node.getConfigurationVersion();
      const previousVersion = this.lastVersions[index] ?? 0;
      if (version < previousVersion && !this.restartingNodes.has(index))
        this.violations.push(
          `node ${index} went back from version ${previousVersion} to ${version}`,
        );
      this.lastVersions[index] = version;
      if (!node.isFresh()) continue;
      for (const change of this.accepted)
        if (
          nowMs - change.atMs > PROPAGATION_LIMIT_MS &&
          version < change.version
        )
          this.violations.push(
            `node ${index} uses version ${version} though ${change.version} was accepted ${nowMs - change.atMs} ms ago`,
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
      const over = excess.getRateLimitExcess(admitted, {ratePerSecond, burst});
      if (over > 1e-6)
        this.violations.push(
          `${id} exceeds its rate limit in a window by ${over}`,
        );
    }
    return {
      violations: this.violations,
      admittedCount,
      acceptedCount: this.accepted.length,
      faultCount: this.faultCount,
    };
  }
}
