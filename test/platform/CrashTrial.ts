import * as timers from 'node:timers/promises';
import * as pureRand from 'pure-rand';
import * as undici from 'undici';
import type * as upstreams from '../../standins/store/FakeUpstream.js';
import * as fleets from './EntryFleet.js';

const SERVICE = 'desk';
const UPSTREAM_COUNT = 12;
const SOUND_CALLER_COUNT = 8;
const CRASHING_PATH = '/look/crash';

/** How long a crashed upstream takes to be replaced by another one, and to lose its row. */
const REPLACEMENT_DELAY_MS = 4000;
const ROW_REMOVAL_DELAY_MS = 4500;

const VM_KILL_INTERVAL_MS = 4000;

/** How long a VM's clients do not use it after it was killed. */
const VM_RETURN_MS = 1500;

/** What ends the upstreams of a trial. */
export type CrashCause =
  /** One request, sent `count` times. */
  | {
      readonly kind: 'request';
      readonly method: 'GET' | 'POST';
      readonly count: number;
      readonly objects: 'one' | 'many';
    }
  /** The upstreams end by themselves, `count` in all. */
  | {readonly kind: 'none'; readonly count: number};

/** The options of a trial. */
export interface CrashTrialOptions {
  readonly vmCount: number;
  readonly cause: CrashCause;
  readonly durationMs: number;

  /** How long a crashing request waits at an upstream before it begins to run. */
  readonly queueMs?: number;

  /** Whether one VM after the other is killed and started again. */
  readonly areVmsKilled: boolean;
  readonly seed: number;
}

/** What a trial observed; times are monotonic, in milliseconds. */
export interface CrashTrialResult {
  /** When each crash of an upstream happened, in order. */
  readonly crashedAtMs: readonly number[];

  /** The statuses of the crashing request whose attempt had begun to run at an upstream. */
  readonly statusesOfRun: readonly number[];

  /** The statuses of the sound requests, of VMs that were not being killed. */
  readonly soundStatuses: readonly number[];

  /** The log lines of all VMs. */
  readonly log: string;
}

/** Runs a fleet on which upstreams crash while callers send sound requests, half of them for the same path. */
export class CrashTrial {
  private readonly options: CrashTrialOptions;
  private readonly fleet: fleets.EntryFleet;
  private readonly random: pureRand.RandomGenerator;
  private readonly live = new Set<upstreams.FakeUpstream>();
  private readonly runIds = new Set<string>();
  private readonly crashedAtMs: number[] = [];
  private readonly statusesOfRun: number[] = [];
  private readonly soundStatuses: number[] = [];
  private readonly logs: string[] = [];
  private readonly changedAtMs: number[];
  private readonly replacements: Promise<void>[] = [];
  private isOver = false;
  private soundCount = 0;

  private constructor(options: CrashTrialOptions, fleet: fleets.EntryFleet) {
    this.options = options;
    this.fleet = fleet;
    this.random = pureRand.xoroshiro128plus(options.seed);
    this.changedAtMs = Array<number>(options.vmCount).fill(-Infinity);
  }

  /** Runs a trial. */
  static async run(options: CrashTrialOptions): Promise<CrashTrialResult> {
    const results: CrashTrialResult[] = [];
    await fleets.withFleet(async fleet => {
      results.push(await new CrashTrial(options, fleet).run());
    });
    return results[0];
  }

  private async run(): Promise<CrashTrialResult> {
    const {fleet, options} = this;
    const isUnsafe =
      options.cause.kind === 'request' && options.cause.method === 'POST';
    fleet.configure(
      [
        {
          prefix: '/look/',
          kind: isUnsafe ? 'unsafe' : 'safe',
          service: SERVICE,
        },
      ],
      fleets.getSoleOrganisation('k1'),
    );
    for (let index = 0; index < UPSTREAM_COUNT; index++)
      await this.addUpstream();
    await fleet.addVms(options.vmCount);
    const endAtMs = performance.now() + options.durationMs;
    const callers = Array.from({length: SOUND_CALLER_COUNT}, () =>
      this.sendSoundRequests(),
    );
    const killer = options.areVmsKilled ? this.killVms(endAtMs) : undefined;
    await this.crashUpstreams(endAtMs);
    await killer;
    this.isOver = true;
    await Promise.all(callers);
    await Promise.all(this.replacements);
    for (let index = 0; index < options.vmCount; index++)
      this.logs.push(fleet.getProcess(index).getLog());
    return {
      crashedAtMs: this.crashedAtMs,
      statusesOfRun: this.statusesOfRun,
      soundStatuses: this.soundStatuses,
      log: this.logs.join('\n'),
    };
  }

  private async addUpstream(): Promise<void> {
    const upstream = await this.fleet.addUpstream(SERVICE);
    upstream.serviceMs = 20;
    upstream.crashingTarget = CRASHING_PATH;
    upstream.crashDelayMs = this.options.queueMs ?? 0;
    upstream.onCrash = () => this.handleCrash(upstream);
    this.live.add(upstream);
  }

  private handleCrash(upstream: upstreams.FakeUpstream): void {
    if (!this.live.delete(upstream)) return;
    this.crashedAtMs.push(performance.now());
    for (const {requestId, target} of upstream.runs)
      if (target.startsWith(CRASHING_PATH)) this.runIds.add(requestId);
    this.replacements.push(
      timers.setTimeout(REPLACEMENT_DELAY_MS).then(() => this.addUpstream()),
      timers.setTimeout(ROW_REMOVAL_DELAY_MS).then(() => {
        this.fleet.store.deleteRow('servers', upstream.upstreamId);
      }),
    );
  }

  private async crashUpstreams(endAtMs: number): Promise<void> {
    const {cause, durationMs} = this.options;
    const calls: Promise<void>[] = [];
    for (let index = 0; index < cause.count; index++) {
      await timers.setTimeout(durationMs / cause.count);
      switch (cause.kind) {
        case 'request':
          calls.push(this.sendCrashingRequest(cause, index));
          break;
        case 'none': {
          const all = [...this.live];
          all[this.draw(all.length)]?.crash();
          break;
        }
      }
    }
    await Promise.all(calls);
    await timers.setTimeout(Math.max(0, endAtMs - performance.now()));
  }

  private async sendCrashingRequest(
    {method, objects}: Extract<CrashCause, {kind: 'request'}>,
    index: number,
  ): Promise<void> {
    const requestId = `c${index}`;
    const status = await this.call(index % this.options.vmCount, {
      method,
      path: CRASHING_PATH,
      object: objects === 'one' ? '7' : String(index),
      requestId,
    });
    if (status !== undefined && this.runIds.has(requestId))
      this.statusesOfRun.push(status);
  }

  private async sendSoundRequests(): Promise<void> {
    while (!this.isOver) {
      const index = this.soundCount++;
      const path = index % 2 === 0 ? '/look/popular' : `/look/${index}`;
      const status = await this.call(this.draw(this.options.vmCount), {
        path,
        object: path,
        requestId: `s${index}`,
      });
      if (status !== undefined) this.soundStatuses.push(status);
      // A caller that was refused comes back later.
      if (status !== 200) await timers.setTimeout(20);
    }
  }

  /** Sends a request; returns undefined if its VM was being killed or started. */
  private async call(
    vmIndex: number,
    request: fleets.CallerRequest,
  ): Promise<number | undefined> {
    const sentAtMs = performance.now();
    try {
      const answer = await this.fleet.call(vmIndex, request);
      const isSettled = this.changedAtMs[vmIndex] < sentAtMs - VM_RETURN_MS;
      return isSettled ? answer.httpStatus : undefined;
    } catch (thrown) {
      if (thrown instanceof undici.errors.UndiciError || isSocketError(thrown))
        return undefined;
      throw thrown;
    }
  }

  private async killVms(endAtMs: number): Promise<void> {
    for (let round = 0; ; round++) {
      await timers.setTimeout(VM_KILL_INTERVAL_MS);
      if (performance.now() > endAtMs) return;
      const vmIndex = round % this.options.vmCount;
      this.changedAtMs[vmIndex] = Infinity;
      const killed = this.fleet.getProcess(vmIndex);
      await killed.kill();
      this.logs.push(killed.getLog());
      this.fleet.restart(vmIndex);
      await this.fleet.waitForReady(vmIndex);
      this.changedAtMs[vmIndex] = performance.now();
    }
  }

  /** Draws an integer from 0 to below `end`. */
  private draw(end: number): number {
    return end === 0
      ? 0
      : pureRand.unsafeUniformIntDistribution(0, end - 1, this.random);
  }
}

function isSocketError(thrown: unknown): boolean {
  const code = (thrown as {readonly code?: string}).code ?? '';
  return code === 'ECONNREFUSED' || code === 'ECONNRESET';
}
