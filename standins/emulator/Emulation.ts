import * as pureRand from 'pure-rand';
import * as headers from '../../platform/HeaderCodec.js';
import * as decisions from '../../src/decisions/index.js';
import type * as entry from '../../src/model/entry/index.js';
import * as errors from '../../src/model/errors/index.js';
import * as balances from '../../src/services/dispatch/RegionBalance.js';
import * as registers from '../../src/services/dispatch/UpstreamRegister.js';
import * as records from '../../test/support/records/index.js';
import * as queues from '../../test/support/virtual/EventQueue.js';
import type * as scenarios from './Scenario.js';
import * as models from './UpstreamModel.js';

/** How VMs choose upstreams: as bramleyrun does, or as a baseline. */
export type Policy = 'placed' | 'random' | 'roundRobin' | 'firstOnly';

/** What came of the requests that were sent in one second. */
export interface SecondCount {
  readonly askedCount: number;
  readonly inTimeCount: number;
  readonly lateCount: number;
  readonly refusedCount: number;
  readonly failedCount: number;
}

type Outcome = 'inTime' | 'late' | 'refused' | 'failed';

interface Vm {
  readonly region: string;
  readonly register: registers.UpstreamRegister;
  readonly balance: balances.RegionBalance;
}

const SERVICE_ID = 'service';
const TICK_MS = 250;
const STATUS_MS = 1000;
const NEAR_MS = 1;
const FAR_MS = 35;
const MS_PER_SECOND = 1000;
const RANDOM_RANGE = 2 ** 30;

/** Plays a load pattern over several VMs in virtual time, with the real placement decisions. */
export class Emulation {
  private readonly scenario: scenarios.Scenario;
  private readonly policy: Policy;
  private readonly random: pureRand.RandomGenerator;
  private readonly queue = new queues.EventQueue();
  private readonly models = new Map<string, models.UpstreamModel>();
  private readonly records: readonly entry.UpstreamRecord[];
  private readonly vms: readonly Vm[];
  private readonly seconds: SecondCount[] = [];
  private readonly boundSeconds: SecondCount[] = [];
  private statuses: readonly entry.MemberStatus[] = [];
  private nowMs = 0;
  private nextSequence = 0;
  private nextTurn = 0;
  private rateFactor = 1;

  /** @param seed Draws arrivals, objects and refusals. */
  constructor(scenario: scenarios.Scenario, policy: Policy, seed: number) {
    this.scenario = scenario;
    this.policy = policy;
    this.random = pureRand.xoroshiro128plus(seed);
    this.records = getRecords(scenario);
    for (const record of this.records)
      this.models.set(
        record.upstreamId,
        new models.UpstreamModel(scenario.traits, (atMs, action) =>
          this.schedule(atMs, action),
        ),
      );
    this.vms = scenario.regions.flatMap(({region}) =>
      Array.from({length: scenario.vmsPerRegion}, () => this.getVm(region)),
    );
  }

  /** Plays the pattern; gives a count for each second. */
  run(): readonly SecondCount[] {
    for (const event of this.scenario.events)
      this.schedule(event.atMs, () => this.apply(event));
    for (const region of this.scenario.regions) this.scheduleArrival(region, 0);
    this.scheduleEvery(TICK_MS, () => this.tick());
    this.scheduleEvery(STATUS_MS, () => this.exchangeStatuses());
    for (;;) {
      const event = this.queue.peek();
      if (event === undefined) break;
      this.queue.remove();
      this.nowMs = event.atMs;
      event.action();
    }
    return this.seconds;
  }

  /** Gets the counts of the requests that may run in one region only. */
  getBoundSeconds(): readonly SecondCount[] {
    return this.boundSeconds;
  }

  private getVm(region: string): Vm {
    const register = new registers.UpstreamRegister(new headers.HeaderCodec());
    register.setRecords(this.records);
    const balance = new balances.RegionBalance(region, register);
    balance.update([SERVICE_ID], [], 0);
    return {region, register, balance};
  }

  private apply(event: scenarios.ScenarioEvent): void {
    switch (event.kind) {
      case 'empty':
        for (const {register} of this.vms)
          register.setEvacuated([`${event.region}-a`]);
        return;
      case 'restore':
        for (const {register} of this.vms) register.setEvacuated([]);
        return;
      case 'refuse':
        for (const model of this.models.values())
          model.refusedPart = event.part;
        return;
      case 'rate':
        this.rateFactor = event.factor;
        return;
      default:
        errors.throwUnreachable(event);
    }
  }

  private tick(): void {
    for (const {balance} of this.vms)
      balance.update([SERVICE_ID], this.statuses, this.nowMs);
  }

  private exchangeStatuses(): void {
    this.statuses = this.vms.map(({region, balance}, index) =>
      records.getMemberStatus(
        records.getMemberRecord(`vm-${index}`, {region}),
        {serviceDemands: balance.getOwnDemands()},
      ),
    );
  }

  private scheduleArrival(
    region: scenarios.ScenarioRegion,
    afterMs: number,
  ): void {
    const gapMs =
      (-Math.log(1 - this.getRandom()) * MS_PER_SECOND) /
      (region.ratePerSecond * this.rateFactor);
    const atMs = afterMs + gapMs;
    if (atMs >= this.scenario.lengthMs) return;
    this.schedule(atMs, () => {
      this.arrive(region.region);
      this.scheduleArrival(region, atMs);
    });
  }

  private arrive(region: string): void {
    const objectIndex = Math.floor(
      this.getRandom() * this.scenario.objectsPerRegion,
    );
    const objectName = `/${region}/${objectIndex}`;
    const own = this.vms.filter(vm => vm.region === region);
    const vm = own[Math.floor(this.getRandom() * own.length)];
    const startedAtMs = this.nowMs;
    const {bound} = this.scenario;
    const homeRegion =
      bound !== undefined && this.getRandom() < bound.part
        ? bound.region
        : undefined;
    const count = (outcome: Outcome) => {
      countIn(this.seconds, startedAtMs, outcome);
      if (homeRegion !== undefined)
        countIn(this.boundSeconds, startedAtMs, outcome);
    };
    const upstreamId = this.choose(vm, objectName, homeRegion);
    const upstream =
      upstreamId === undefined ? undefined : vm.register.get(upstreamId);
    const model =
      upstreamId === undefined ? undefined : this.models.get(upstreamId);
    if (upstream === undefined || model === undefined) {
      count('refused');
      return;
    }
    const {state} = upstream;
    const oneWayMs = state.record.region === region ? NEAR_MS : FAR_MS;
    const sendId = state.addSend(startedAtMs);
    vm.balance.addInFlight(SERVICE_ID, homeRegion, 1, startedAtMs);
    const finish = (end: 'done' | 'refused' | 'givenUp') =>
      this.schedule(this.nowMs + oneWayMs, () => {
        vm.balance.addInFlight(SERVICE_ID, homeRegion, -1, this.nowMs);
        const load = {
          busyCount: model.busyCount,
          slotCount: state.record.slotCount,
        };
        if (end === 'refused') state.addShed(load, this.nowMs);
        if (end === 'done') {
          state.addAnswer(load, this.nowMs);
          state.addObject(objectName);
        }
        state.endSend(sendId);
        count(this.getOutcome(end, startedAtMs));
      });
    this.schedule(startedAtMs + oneWayMs, () =>
      model.accept(
        {
          objectName,
          coldWorkMs: this.scenario.coldWorkMs,
          deadlineMs: startedAtMs + this.scenario.timeLimitMs - oneWayMs,
          onEnd: finish,
        },
        this.getRandom(),
        this.nowMs,
      ),
    );
  }

  private choose(
    vm: Vm,
    objectName: string,
    homeRegion: string | undefined,
  ): string | undefined {
    const question = {
      serviceId: SERVICE_ID,
      objectName,
      homeRegions: homeRegion === undefined ? undefined : [homeRegion],
      random: 0,
    };
    switch (this.policy) {
      case 'placed':
        return this.place(vm, vm.register.rank(question), objectName);
      case 'firstOnly':
        return vm.register.rank(question)[0];
      case 'random':
        return this.getUsable(vm, Math.floor(this.getRandom() * RANDOM_RANGE));
      case 'roundRobin':
        return this.getUsable(vm, this.nextTurn++);
      default:
        return errors.throwUnreachable(this.policy);
    }
  }

  private place(
    vm: Vm,
    ranked: readonly string[],
    objectName: string,
  ): string | undefined {
    const views = vm.register.getViews(ranked, objectName, 0, this.nowMs);
    const placement = decisions.choosePlacement(views);
    return placement.kind === 'chosen' ? placement.upstreamId : undefined;
  }

  /** Gets one of all usable upstreams, whatever the object. */
  private getUsable(vm: Vm, turn: number): string | undefined {
    const usable = vm.register.rank({
      serviceId: SERVICE_ID,
      objectName: `turn ${turn}`,
      homeRegions: undefined,
      random: 0,
    });
    return usable[turn % Math.max(1, usable.length)];
  }

  private getOutcome(
    end: 'done' | 'refused' | 'givenUp',
    startedAtMs: number,
  ): Outcome {
    switch (end) {
      case 'done':
        return this.nowMs - startedAtMs <= this.scenario.objectiveMs
          ? 'inTime'
          : 'late';
      case 'refused':
        return 'refused';
      case 'givenUp':
        return 'failed';
    }
  }

  private scheduleEvery(intervalMs: number, action: () => void): void {
    for (let atMs = 0; atMs < this.scenario.lengthMs; atMs += intervalMs)
      this.schedule(atMs, action);
  }

  private schedule(atMs: number, action: () => void): void {
    this.queue.add({atMs, sequence: this.nextSequence++, action});
  }

  private getRandom(): number {
    const value = pureRand.unsafeUniformIntDistribution(
      0,
      RANDOM_RANGE - 1,
      this.random,
    );
    return value / RANDOM_RANGE;
  }
}

const NOTHING: SecondCount = {
  askedCount: 0,
  inTimeCount: 0,
  lateCount: 0,
  refusedCount: 0,
  failedCount: 0,
};

function countIn(
  seconds: SecondCount[],
  startedAtMs: number,
  outcome: Outcome,
): void {
  const second = Math.floor(startedAtMs / MS_PER_SECOND);
  const known = seconds[second] ?? NOTHING;
  seconds[second] = {
    askedCount: known.askedCount + 1,
    inTimeCount: known.inTimeCount + (outcome === 'inTime' ? 1 : 0),
    lateCount: known.lateCount + (outcome === 'late' ? 1 : 0),
    refusedCount: known.refusedCount + (outcome === 'refused' ? 1 : 0),
    failedCount: known.failedCount + (outcome === 'failed' ? 1 : 0),
  };
}

/** Adds up the counts of some seconds. */
export function sumSeconds(seconds: readonly SecondCount[]): SecondCount {
  return seconds.reduce(
    (sum, second) => ({
      askedCount: sum.askedCount + second.askedCount,
      inTimeCount: sum.inTimeCount + second.inTimeCount,
      lateCount: sum.lateCount + second.lateCount,
      refusedCount: sum.refusedCount + second.refusedCount,
      failedCount: sum.failedCount + second.failedCount,
    }),
    NOTHING,
  );
}

function getRecords(
  scenario: scenarios.Scenario,
): readonly entry.UpstreamRecord[] {
  return scenario.regions.flatMap(({region, upstreamCount}) =>
    Array.from({length: upstreamCount}, (_, index) =>
      records.getUpstreamRecord(`i-${region}-${index}`, {
        serviceId: SERVICE_ID,
        region,
        failureDomain: `${region}-${index % 2 === 0 ? 'a' : 'b'}`,
        slotCount: scenario.traits.slotCount,
      }),
    ),
  );
}
