import * as timers from 'node:timers/promises';
import * as base from '../../src/services/base/index.js';
import type * as upstreams from '../../standins/store/FakeUpstream.js';
import * as fleets from './EntryFleet.js';
import * as excuses from './isExcusedLoss.js';
import type * as callers from './RawCaller.js';
import * as logs from './RequestLog.js';

const VM_COUNT = 2;
const UPSTREAM_COUNT = 4;
const UPSTREAM_SLOT_COUNT = 30;

/** The time in milliseconds between the callers' start, or a VM's restart, and the next SIGTERM. */
const SERVING_MS = 700;

const POLL_INTERVAL_MS = 5;
const RECONNECT_DELAY_MS = 10;

const TIME_LIMIT_MS = 3000;
const LONG_TIME_LIMIT_MS = 20_000;

/** How a caller uses its connections. */
type CallerHabit =
  /** Sends requests without waiting for the answers. */
  | 'pipelining'
  /** The same, with requests that take longer. */
  | 'pipeliningLong'
  /** Sends a request once the one before it has been answered, on the same connection. */
  | 'keeping'
  /** Sends each request on a connection of its own. */
  | 'fresh';

interface CallerKind {
  readonly habit: CallerHabit;
  readonly count: number;

  /** The rate of the caller's link. */
  readonly bytesPerSecond: number;

  /** The shortest and the longest pause before a request, in milliseconds. */
  readonly pauseMs: readonly [number, number];
  readonly workMs: readonly [number, number];
  readonly answerBytes: readonly [number, number];
}

/** Answers take most of what a slow link carries. */
const CALLER_KINDS: readonly CallerKind[] = [
  {
    habit: 'pipelining',
    count: 5,
    bytesPerSecond: Infinity,
    pauseMs: [20, 120],
    workMs: [2, 900],
    answerBytes: [10, 60_000],
  },
  {
    habit: 'pipelining',
    count: 4,
    bytesPerSecond: 250_000,
    pauseMs: [100, 250],
    workMs: [2, 600],
    answerBytes: [10_000, 60_000],
  },
  {
    habit: 'pipeliningLong',
    count: 3,
    bytesPerSecond: Infinity,
    pauseMs: [100, 600],
    workMs: [500, 5500],
    answerBytes: [10, 20_000],
  },
  {
    habit: 'keeping',
    count: 5,
    bytesPerSecond: Infinity,
    pauseMs: [5, 60],
    workMs: [2, 1500],
    answerBytes: [10, 60_000],
  },
  {
    habit: 'keeping',
    count: 3,
    bytesPerSecond: 250_000,
    pauseMs: [5, 60],
    workMs: [2, 300],
    answerBytes: [50_000, 200_000],
  },
  {
    habit: 'fresh',
    count: 4,
    bytesPerSecond: 500_000,
    pauseMs: [5, 60],
    workMs: [2, 600],
    answerBytes: [10, 150_000],
  },
];

/** The result of a trial. */
export interface StopReport {
  readonly requestCount: number;

  /** The lost requests that nothing excuses, with times in milliseconds from the SIGTERM of their VM. */
  readonly lost: readonly string[];
}

/** Stops two VMs in turn, under callers with random requests, and finds the requests that are lost. */
export class StopTrial {
  private readonly seed: number;
  private readonly fleet: fleets.EntryFleet;
  private readonly requests = new logs.RequestLog();
  private readonly upstreams: upstreams.FakeUpstream[] = [];
  private readonly stops: excuses.PlannedStop[] = [];
  private isFinished = false;

  /** @param seed Seeds the callers' random choices. */
  constructor(fleet: fleets.EntryFleet, seed: number) {
    this.fleet = fleet;
    this.seed = seed;
  }

  /** Runs the trial on a fleet without VMs and upstreams. */
  async run(): Promise<StopReport> {
    this.configure();
    for (let index = 0; index < UPSTREAM_COUNT; index++)
      this.upstreams.push(
        await this.fleet.addUpstream(
          'desk',
          index % 2 === 0 ? 'amman-a' : 'irbid-a',
          UPSTREAM_SLOT_COUNT,
        ),
      );
    await this.fleet.addVms(VM_COUNT);
    const callerKinds = CALLER_KINDS.flatMap(kind =>
      Array<CallerKind>(kind.count).fill(kind),
    );
    const ended = callerKinds.map((kind, index) =>
      this.runCaller(kind, new base.RandomSource(this.seed * 1000 + index)),
    );
    for (let vm = 0; vm < VM_COUNT; vm++) await this.stopAndRestart(vm);
    this.isFinished = true;
    await Promise.all(ended);
    await this.fleet.waitFor(() => this.requests.hasNoOpenConnection);
    const lost = this.requests
      .findLost(this.upstreams)
      .filter(request => !excuses.isExcusedLoss(request, this.stops))
      .map(request => this.describe(request));
    return {requestCount: this.requests.requestCount, lost};
  }

  private configure(): void {
    const getRoute = (
      prefix: string,
      kind: 'safe' | 'unsafe',
      timeLimitMs: number,
    ) => ({prefix, kind, service: 'desk', timeout: `${timeLimitMs}ms`});
    this.fleet.configure(
      [
        getRoute('/look/', 'safe', TIME_LIMIT_MS),
        getRoute('/act/', 'unsafe', TIME_LIMIT_MS),
        getRoute('/long/', 'safe', LONG_TIME_LIMIT_MS),
      ],
      fleets.getSoleOrganisation('k1'),
    );
  }

  private async stopAndRestart(vm: number): Promise<void> {
    await timers.setTimeout(SERVING_MS);
    const process = this.fleet.getProcess(vm);
    this.stops.push({vm, signalledAtMs: Date.now()});
    process.signal('SIGTERM');
    const exitCode = await process.waitForExit();
    if (exitCode !== 0) throw new Error(`VM ${vm} exited with ${exitCode}`);
    this.fleet.restart(vm);
    await this.fleet.waitForReady(vm);
  }

  private async runCaller(
    kind: CallerKind,
    random: base.RandomSource,
  ): Promise<void> {
    while (!this.isFinished) {
      const vm = Math.floor(random.draw() * VM_COUNT);
      // Connections fail while the VM is not running.
      const caller = await this.fleet
        .connect(vm, kind.bytesPerSecond)
        .catch(() => undefined);
      if (caller !== undefined) {
        await this.useConnection(caller, vm, kind, random);
        caller.close();
      }
      await timers.setTimeout(RECONNECT_DELAY_MS);
    }
  }

  /** Sends requests until the VM closes the connection or the trial ends, and waits for their answers. */
  private async useConnection(
    caller: callers.RawCaller,
    vm: number,
    kind: CallerKind,
    random: base.RandomSource,
  ): Promise<void> {
    let sentCount = 0;
    const hasAllAnswers = () => {
      const answers = caller.getAnswers();
      return answers.length === sentCount && answers.every(isComplete);
    };
    // A caller learns that the connection closes once it has read the whole answer.
    const isOpen = () => !caller.isClosed && !hasWholeLastAnswer(caller);
    while (!this.isFinished && isOpen()) {
      await timers.setTimeout(draw(random, kind.pauseMs));
      this.send(caller, vm, kind, random);
      sentCount += 1;
      switch (kind.habit) {
        case 'pipelining':
        case 'pipeliningLong':
          break;
        case 'keeping':
          await waitFor(() => caller.isClosed || hasAllAnswers());
          break;
        case 'fresh':
          await waitFor(() => caller.isClosed || hasAllAnswers());
          return;
      }
    }
    // Requests that crossed the close of the connection get no answer.
    await waitFor(() => !isOpen() || hasAllAnswers());
  }

  private send(
    caller: callers.RawCaller,
    vm: number,
    {habit, workMs, answerBytes}: CallerKind,
    random: base.RandomSource,
  ): void {
    const query = `x?ms=${draw(random, workMs)}&bytes=${draw(random, answerBytes)}`;
    const isUnsafe = random.draw() < 0.5;
    switch (habit) {
      case 'pipelining':
        this.requests.sendSafe(caller, vm, `/look/${query}`, TIME_LIMIT_MS);
        return;
      case 'pipeliningLong':
        this.requests.sendSafe(
          caller,
          vm,
          `/long/${query}`,
          LONG_TIME_LIMIT_MS,
        );
        return;
      case 'keeping':
      case 'fresh':
        if (isUnsafe) this.requests.sendUnsafe(caller, vm, `/act/${query}`);
        else
          this.requests.sendSafe(caller, vm, `/look/${query}`, TIME_LIMIT_MS);
    }
  }

  private describe(lost: logs.LostRequest): string {
    const {answer, requestId, vm} = lost;
    const stop = this.stops.find(stop => stop.vm === vm);
    const getTime = (atMs: number | undefined) =>
      atMs === undefined ? 'never' : String(atMs - (stop?.signalledAtMs ?? 0));
    return [
      requestId,
      `sent=${getTime(lost.sentAtMs)}`,
      `worked=${getTime(lost.endedAtMs)}`,
      `closed=${getTime(lost.closedAtMs)}`,
      `answer=${answer === undefined ? 'none' : describeAnswer(answer)}`,
    ].join(' ');
  }
}

function isComplete(answer: {readonly isComplete: boolean}): boolean {
  return answer.isComplete;
}

function hasWholeLastAnswer(caller: callers.RawCaller): boolean {
  return caller.getAnswers().some(answer => answer.isLast && answer.isComplete);
}

function describeAnswer(answer: {
  readonly httpStatus: number;
  readonly isComplete: boolean;
}): string {
  return answer.isComplete ? `own ${answer.httpStatus}` : 'part';
}

function draw(
  random: base.RandomSource,
  [least, most]: readonly [number, number],
): number {
  return Math.floor(least + random.draw() * (most - least));
}

async function waitFor(isConditionMet: () => boolean): Promise<void> {
  while (!isConditionMet()) await timers.setTimeout(POLL_INTERVAL_MS);
}
