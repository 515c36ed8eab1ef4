import * as test from 'node:test';
import * as earl from 'earl';
import * as fastCheck from 'fast-check';
import * as headers from '../../../platform/HeaderCodec.js';
import type * as entry from '../../../src/model/entry/index.js';
import * as registries from '../../../src/services/dispatch/UpstreamRegistry.js';
import * as records from '../../support/records/index.js';

const VM_COUNT = 4;
const UPSTREAM_IDS = ['a', 'b', 'c'];

/** The longest time in milliseconds for which a VM is frozen or a datagram travels. */
const MAX_DELAY_MS = 5000;

/** Something that happens to the fleet; VMs and upstreams are chosen by index. */
type Step =
  | {readonly kind: 'wait'; readonly durationMs: number}
  /** The VM reads the rows. */
  | {readonly kind: 'read'; readonly vm: number}
  /** The VM reads rows without those of one upstream, whose row expired while the store was away. */
  | {
      readonly kind: 'readLapsed';
      readonly vm: number;
      readonly upstream: number;
    }
  /** The VM receives a response in which the upstream says that it leaves, and informs the others. */
  | {
      readonly kind: 'hearLeaving';
      readonly vm: number;
      readonly upstream: number;
      readonly delayMs: number;
    }
  | {
      readonly kind: 'hearPause';
      readonly vm: number;
      readonly upstream: number;
      readonly pauseMs: number;
    }
  /** The upstream starts again under its identifier and address. */
  | {readonly kind: 'restartUpstream'; readonly upstream: number}
  | {readonly kind: 'restartVm'; readonly vm: number}
  /** The VM stands still; datagrams and responses wait for it. */
  | {readonly kind: 'freezeVm'; readonly durationMs: number};

const vmArbitrary = fastCheck.nat({max: VM_COUNT - 1});
const upstreamArbitrary = fastCheck.nat({max: UPSTREAM_IDS.length - 1});
const delayArbitrary = fastCheck.nat({max: MAX_DELAY_MS});

const stepArbitrary: fastCheck.Arbitrary<Step> = fastCheck.oneof(
  fastCheck.record({
    kind: fastCheck.constant('wait' as const),
    durationMs: delayArbitrary,
  }),
  fastCheck.record({
    kind: fastCheck.constant('read' as const),
    vm: vmArbitrary,
  }),
  fastCheck.record({
    kind: fastCheck.constant('readLapsed' as const),
    vm: vmArbitrary,
    upstream: upstreamArbitrary,
  }),
  fastCheck.record({
    kind: fastCheck.constant('hearLeaving' as const),
    vm: vmArbitrary,
    upstream: upstreamArbitrary,
    delayMs: delayArbitrary,
  }),
  fastCheck.record({
    kind: fastCheck.constant('hearPause' as const),
    vm: vmArbitrary,
    upstream: upstreamArbitrary,
    pauseMs: delayArbitrary,
  }),
  fastCheck.record({
    kind: fastCheck.constant('restartUpstream' as const),
    upstream: upstreamArbitrary,
  }),
  fastCheck.record({
    kind: fastCheck.constant('restartVm' as const),
    vm: vmArbitrary,
  }),
  fastCheck.record({
    kind: fastCheck.constant('freezeVm' as const),
    durationMs: delayArbitrary,
  }),
);

/** What one VM was told, kept apart from the code under test. */
interface Told {
  readonly leavingStarts: Set<string>;
  readonly pauseEndsMs: Map<string, number>;
}

/** Several registries, each of one VM, that play steps in virtual time. */
class HoldFleet {
  private readonly startedAtMs = UPSTREAM_IDS.map(() => 1);
  private readonly registries = Array.from({length: VM_COUNT}, createRegistry);
  private readonly told = Array.from({length: VM_COUNT}, createTold);
  private readonly datagrams: {
    readonly start: entry.UpstreamStart;
    readonly vm: number;
    readonly arrivesAtMs: number;
  }[] = [];
  private nowMs = 0;

  play(step: Step): void {
    switch (step.kind) {
      case 'wait':
      case 'freezeVm':
        this.nowMs += step.durationMs;
        this.deliver();
        return;
      case 'read':
        this.registries[step.vm].setRecords(this.getRecords(), this.nowMs);
        return;
      case 'readLapsed': {
        const lapsed = UPSTREAM_IDS[step.upstream];
        const rows = this.getRecords().filter(
          record => record.upstreamId !== lapsed,
        );
        this.registries[step.vm].setRecords(rows, this.nowMs);
        return;
      }
      case 'hearLeaving':
        this.hearLeaving(step.vm, step.upstream, step.delayMs);
        return;
      case 'hearPause': {
        const start = this.getRecords()[step.upstream];
        const state = this.getOpenState(step.vm, start);
        if (state === undefined) return;
        state.extendPause(step.pauseMs, this.nowMs);
        const endsMs = this.told[step.vm].pauseEndsMs;
        const key = getKey(start);
        const endMs = this.nowMs + step.pauseMs;
        endsMs.set(key, Math.max(endsMs.get(key) ?? 0, endMs));
        return;
      }
      case 'restartUpstream':
        this.startedAtMs[step.upstream] += 1;
        return;
      case 'restartVm':
        this.registries[step.vm] = createRegistry();
        this.told[step.vm] = createTold();
        return;
    }
  }

  /** Gets what is wrong now: an upstream that is open to a VM although it said otherwise, or the reverse. */
  getViolations(): readonly string[] {
    return this.registries.flatMap((registry, vm) =>
      [...registry.getAll()].flatMap(({state}) => {
        const key = getKey(state.record);
        const {leavingStarts, pauseEndsMs} = this.told[vm];
        const isHeld =
          leavingStarts.has(key) || this.nowMs < (pauseEndsMs.get(key) ?? 0);
        const isOpen = registry.isOpen(state, this.nowMs);
        return isOpen === isHeld ? [`${vm} ${key} isOpen=${isOpen}`] : [];
      }),
    );
  }

  /** The VM must send a request to hear anything, so that only what is open to it can tell it something. */
  private getOpenState(vm: number, start: entry.UpstreamStart) {
    const registry = this.registries[vm];
    const state = registry.get(start.upstreamId)?.state;
    return state !== undefined &&
      getKey(state.record) === getKey(start) &&
      registry.isOpen(state, this.nowMs)
      ? state
      : undefined;
  }

  private hearLeaving(vm: number, upstream: number, delayMs: number): void {
    const start = this.getRecords()[upstream];
    if (this.getOpenState(vm, start) === undefined) return;
    this.registries[vm].setLeaving(start, this.nowMs);
    this.told[vm].leavingStarts.add(getKey(start));
    for (let other = 0; other < VM_COUNT; other++)
      if (other !== vm)
        this.datagrams.push({
          start,
          vm: other,
          arrivesAtMs: this.nowMs + delayMs,
        });
  }

  private deliver(): void {
    const due = this.datagrams.filter(
      ({arrivesAtMs}) => arrivesAtMs <= this.nowMs,
    );
    for (const datagram of due) {
      this.datagrams.splice(this.datagrams.indexOf(datagram), 1);
      this.registries[datagram.vm].setLeaving(datagram.start, this.nowMs);
      this.told[datagram.vm].leavingStarts.add(getKey(datagram.start));
    }
  }

  private getRecords(): readonly entry.UpstreamRecord[] {
    return UPSTREAM_IDS.map((upstreamId, index) =>
      records.getUpstreamRecord(upstreamId, {
        startedAtMs: this.startedAtMs[index],
      }),
    );
  }
}

function createRegistry(): registries.UpstreamRegistry {
  return new registries.UpstreamRegistry(new headers.HeaderCodec());
}

function createTold(): Told {
  return {leavingStarts: new Set(), pauseEndsMs: new Map()};
}

function getKey({upstreamId, startedAtMs}: entry.UpstreamStart): string {
  return `${upstreamId}@${startedAtMs}`;
}

void test.describe('holds of upstreams on a fleet', () => {
  void test.it('are kept by each VM that was told, and by no other', () => {
    fastCheck.assert(
      fastCheck.property(
        fastCheck.array(stepArbitrary, {maxLength: 60}),
        steps => {
          const fleet = new HoldFleet();
          for (let vm = 0; vm < VM_COUNT; vm++) fleet.play({kind: 'read', vm});
          for (const step of steps) {
            fleet.play(step);
            earl.expect(fleet.getViolations()).toEqual([]);
          }
        },
      ),
      {numRuns: 400, seed: 23},
    );
  });
});
