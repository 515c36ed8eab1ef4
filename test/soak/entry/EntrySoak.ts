import * as timers from 'node:timers/promises';
import * as proxies from '../../../standins/proxy/FaultProxy.js';
import type * as upstreams from '../../../standins/store/PublishedUpstream.js';
import * as fleets from '../../platform/EntryFleet.js';
import * as violations from './findViolations.js';
import * as actions from './SoakAction.js';
import type * as records from './SoakRecord.js';

/** Callers at each VM, and the longest pause between their requests in milliseconds. */
const CALLERS_PER_VM = 4;
const PAUSE_MS = 40;

/** Callers that leave: what they ask for, how many requests at once, how long they stay and pause in milliseconds. */
const LONG_TARGET = '/look/x?ms=1300';
const PIPELINED_COUNT = 3;
const STAY_MS = 60;
const LEAVE_PAUSE_MS = 300;

/** How long in milliseconds the fleet may take to serve again once all faults are over, and how that is seen. */
const RECOVERY_MS = 15_000;
const RECOVERY_CHECK_MS = 200;
const RECOVERED_IN_A_ROW = 10;

/** How long in milliseconds a leaving upstream goes on serving: its bound and a little more. */
const LEAVE_MS = 4000;

/** How long in milliseconds a killed process is away. */
const RESTART_MS = 300;

const ROUTES: readonly fleets.FleetRoute[] = [
  {prefix: '/look/', kind: 'safe', service: 'desk'},
  {prefix: '/act/', kind: 'unsafe', service: 'desk', timeout: '1200ms'},
];

interface ProxiedUpstream {
  readonly upstream: upstreams.PublishedUpstream;
  readonly proxy: proxies.FaultProxy;
  readonly failureDomain: string;
}

/** What a soak found. */
export interface SoakReport {
  readonly requestCount: number;
  readonly servedCount: number;
  readonly violations: readonly string[];
}

/** Plays drawn faults on real processes while callers go on, and checks what callers and upstreams saw. */
export class EntrySoak {
  private readonly seed: number;
  private readonly size: actions.SoakSize;
  private readonly fleet = new fleets.EntryFleet();
  private readonly slots: ProxiedUpstream[] = [];
  private readonly allUpstreams: upstreams.PublishedUpstream[] = [];
  private readonly requests: records.SoakRequest[] = [];
  private readonly disturbances: records.Disturbance[] = [];
  private readonly withdrawals: records.Withdrawal[] = [];
  private readonly revoked = new Set<string>();
  private readonly busyVms = new Set<number>();
  private readonly pending: Promise<void>[] = [];
  private nextUpstream = 0;
  private nextRequest = 0;
  private isOver = false;

  /** @param seed Draws the faults. */
  constructor(seed: number, size: actions.SoakSize) {
    this.seed = seed;
    this.size = size;
  }

  /** Plays the soak; gives every promise that was broken. */
  async run(): Promise<SoakReport> {
    try {
      await this.open();
      const callers = [...this.startCallers(), ...this.startLeavers()];
      await this.play();
      const isRecovered = await this.awaitRecovery();
      this.isOver = true;
      await Promise.all(callers);
      return this.getReport(isRecovered);
    } finally {
      this.isOver = true;
      await this.fleet.close();
      for (const {proxy} of this.slots) await proxy.close();
      for (const upstream of this.allUpstreams) upstream.close();
    }
  }

  private async open(): Promise<void> {
    await this.fleet.open();
    this.configure();
    for (let slot = 0; slot < this.size.upstreamCount; slot++)
      this.slots.push(
        await this.addUpstream(slot % 2 === 0 ? 'amman-a' : 'irbid-a'),
      );
    await this.fleet.addVms(this.size.vmCount);
  }

  private configure(): void {
    const keys = [...actions.LASTING_KEYS, ...actions.PASSING_KEYS];
    this.fleet.configure(
      ROUTES,
      keys.map(key => ({
        name: getOrganisation(key),
        keys: this.revoked.has(key) ? [] : [key],
        ratePerSecond: 0,
      })),
    );
  }

  private async addUpstream(failureDomain: string): Promise<ProxiedUpstream> {
    const upstreamId = `s-${this.nextUpstream++}`;
    const {upstream, address} = await this.fleet.openUpstream(upstreamId);
    this.allUpstreams.push(upstream);
    const proxy = new proxies.FaultProxy(address);
    await proxy.open();
    const slot = {upstream, proxy, failureDomain};
    this.putEntry(slot, 'ready');
    return slot;
  }

  private putEntry(
    {upstream, proxy, failureDomain}: ProxiedUpstream,
    state: 'ready' | 'draining',
  ): void {
    this.fleet.store.put('servers', upstream.upstreamId, {
      ...upstream.getEntry('desk', failureDomain, state),
      Address: proxy.getAddress(),
    });
  }

  private startCallers(): readonly Promise<void>[] {
    const keys = [...actions.LASTING_KEYS, ...actions.PASSING_KEYS];
    return Array.from(
      {length: this.size.vmCount * CALLERS_PER_VM},
      async (_, caller) => {
        while (!this.isOver) {
          const key = keys[(caller + this.nextRequest) % keys.length];
          await this.call(caller % this.size.vmCount, key);
          await timers.setTimeout(PAUSE_MS * ((caller % 3) / 3 + 0.3));
        }
      },
    );
  }

  /** Callers that pipeline long requests and leave before they are answered, one at each VM. */
  private startLeavers(): readonly Promise<void>[] {
    return Array.from({length: this.size.vmCount}, async (_, vm) => {
      for (let turn = 0; !this.isOver; turn++) {
        await this.callAndLeave(vm, turn).catch(() => undefined);
        await timers.setTimeout(LEAVE_PAUSE_MS);
      }
    });
  }

  private async callAndLeave(vm: number, turn: number): Promise<void> {
    const caller = await this.fleet.connect(vm);
    const [key] = actions.LASTING_KEYS;
    const requestIds = Array.from(
      {length: PIPELINED_COUNT},
      () => `q${this.nextRequest++}`,
    );
    const sentAtMs = Date.now();
    caller.send(requestIds, LONG_TARGET, key);
    await timers.setTimeout(STAY_MS * (1 + (turn % 3)));
    if (turn % 2 === 0) caller.leave();
    else caller.reset();
    const leftAtMs = Date.now();
    for (const requestId of requestIds)
      this.requests.push({
        requestId,
        isUnsafe: false,
        key,
        target: LONG_TARGET,
        vm,
        sentAtMs,
        endedAtMs: leftAtMs,
        leftAtMs,
        httpStatus: undefined,
        text: '',
      });
  }

  private async call(vm: number, key: string): Promise<records.SoakRequest> {
    const number = this.nextRequest++;
    const requestId = `q${number}`;
    const isUnsafe = number % 2 === 0;
    const target = isUnsafe ? '/act/do' : '/look/x';
    const sentAtMs = Date.now();
    const ended = await this.fleet
      .call(vm, {
        method: isUnsafe ? 'POST' : 'GET',
        path: target,
        key,
        object: String(number % 20),
        requestId,
      })
      // A connection that ends without an answer is one of the things that callers see.
      .catch(() => ({httpStatus: undefined, text: ''}));
    const request: records.SoakRequest = {
      requestId,
      isUnsafe,
      key,
      target,
      vm,
      sentAtMs,
      endedAtMs: Date.now(),
      leftAtMs: undefined,
      httpStatus: ended.httpStatus,
      text: ended.text,
    };
    this.requests.push(request);
    return request;
  }

  private async play(): Promise<void> {
    const startedAtMs = Date.now();
    for (const {atMs, deed} of actions.drawActions(this.seed, this.size)) {
      await timers.setTimeout(Math.max(0, startedAtMs + atMs - Date.now()));
      this.pending.push(this.act(deed, startedAtMs));
    }
    await Promise.all(this.pending);
  }

  private async act(
    deed: actions.SoakDeed,
    startedAtMs: number,
  ): Promise<void> {
    switch (deed.kind) {
      case 'kill':
        await this.disturbVm(deed.vm, false, async process => {
          await process.kill();
          await timers.setTimeout(RESTART_MS);
          this.fleet.restart(deed.vm);
          await this.fleet.waitForReady(deed.vm);
        });
        return;
      case 'stop':
        await this.disturbVm(deed.vm, true, async process => {
          process.signal('SIGTERM');
          await process.waitForExit();
          this.fleet.restart(deed.vm);
          await this.fleet.waitForReady(deed.vm);
        });
        return;
      case 'pause':
        await this.disturbVm(deed.vm, false, async process => {
          process.signal('SIGSTOP');
          await waitUntil(startedAtMs + deed.endsAtMs);
          process.signal('SIGCONT');
        });
        return;
      case 'store':
        await this.disturb(deed.vm, false, async () => {
          const address =
            deed.vm === undefined ? '' : this.fleet.getVmHost(deed.vm);
          this.fleet.store.setFault(deed.fault, address);
          await waitUntil(startedAtMs + deed.endsAtMs);
          this.fleet.store.setFault({kind: 'none'}, address);
        });
        return;
      case 'compact':
        this.fleet.store.compact();
        return;
      case 'silence':
        await this.disturb(undefined, false, async () =>
          this.fleet.store.silenceConnections(),
        );
        return;
      case 'link': {
        const {proxy} = this.slots[deed.upstream];
        await this.disturb(undefined, false, async () => {
          proxy.setFault(deed.fault);
          await waitUntil(startedAtMs + deed.endsAtMs);
          // Bytes that were held back are lost, so what stays open carries nothing any more.
          proxy.setFault({kind: 'cut'});
          proxy.setFault({kind: 'none'});
        });
        return;
      }
      case 'mode': {
        const {upstream} = this.slots[deed.upstream];
        upstream.mode = deed.mode;
        await waitUntil(startedAtMs + deed.endsAtMs);
        upstream.mode = 'normal';
        return;
      }
      case 'leave':
        await this.leave(deed.upstream, deed.isAnnounced);
        return;
      case 'revoke':
        if (this.revoked.has(deed.key)) return;
        this.revoked.add(deed.key);
        this.configure();
        this.withdrawals.push({kind: 'key', key: deed.key, atMs: Date.now()});
        return;
      case 'empty':
        await this.empty(deed.failureDomain, startedAtMs + deed.endsAtMs);
        return;
    }
  }

  private async leave(slot: number, isAnnounced: boolean): Promise<void> {
    const leaving = this.slots[slot];
    const {upstreamId} = leaving.upstream;
    this.slots[slot] = await this.addUpstream(leaving.failureDomain);
    if (isAnnounced) this.putEntry(leaving, 'draining');
    else this.fleet.store.drop('servers', upstreamId);
    this.withdrawals.push({kind: 'upstream', upstreamId, atMs: Date.now()});
    await timers.setTimeout(LEAVE_MS);
    this.fleet.store.drop('servers', upstreamId);
    await leaving.proxy.close();
  }

  private async empty(failureDomain: string, endsAtMs: number): Promise<void> {
    const key = `evacuate/${failureDomain}`;
    this.fleet.store.put('op', key, {});
    const atMs = Date.now();
    const upstreamIds = this.slots
      .filter(slot => slot.failureDomain === failureDomain)
      .map(slot => slot.upstream.upstreamId);
    await waitUntil(endsAtMs);
    this.withdrawals.push({
      kind: 'domain',
      upstreamIds,
      atMs,
      untilMs: Date.now(),
    });
    this.fleet.store.drop('op', key);
  }

  private async disturbVm(
    vm: number,
    isPlanned: boolean,
    act: (
      process: ReturnType<fleets.EntryFleet['getProcess']>,
    ) => Promise<void>,
  ): Promise<void> {
    // A process is stopped, killed or paused by one deed at a time; the others overlap with it.
    if (this.busyVms.has(vm)) return;
    this.busyVms.add(vm);
    await this.disturb(vm, isPlanned, () => act(this.fleet.getProcess(vm)));
    this.busyVms.delete(vm);
  }

  private async disturb(
    vm: number | undefined,
    isPlanned: boolean,
    act: () => Promise<void>,
  ): Promise<void> {
    const fromMs = Date.now();
    const at = this.disturbances.length;
    this.disturbances.push({vm, isPlanned, fromMs, toMs: Infinity});
    await act();
    this.disturbances[at] = {vm, isPlanned, fromMs, toMs: Date.now()};
  }

  /** Waits until every VM serves again, request after request. */
  private async awaitRecovery(): Promise<boolean> {
    const deadlineMs = Date.now() + RECOVERY_MS;
    const [key] = actions.LASTING_KEYS;
    const served = new Array<number>(this.size.vmCount).fill(0);
    while (served.some(count => count < RECOVERED_IN_A_ROW)) {
      if (Date.now() > deadlineMs) return false;
      const answers = await Promise.all(
        served.map((_, vm) => this.call(vm, key)),
      );
      for (const [vm, answer] of answers.entries())
        served[vm] = answer.httpStatus === 200 ? served[vm] + 1 : 0;
      await timers.setTimeout(RECOVERY_CHECK_MS / RECOVERED_IN_A_ROW);
    }
    return true;
  }

  private getReport(isRecovered: boolean): SoakReport {
    const keys = [...actions.LASTING_KEYS, ...actions.PASSING_KEYS];
    const found = violations.findViolations({
      requests: this.requests,
      upstreams: this.allUpstreams,
      disturbances: this.disturbances,
      withdrawals: this.withdrawals,
      organisationsByKey: new Map(keys.map(key => [key, getOrganisation(key)])),
    });
    return {
      requestCount: this.requests.length,
      servedCount: this.requests.filter(({httpStatus}) => httpStatus === 200)
        .length,
      violations: isRecovered
        ? found
        : [...found, `RECOVER: not within ${RECOVERY_MS} ms`],
    };
  }
}

function getOrganisation(key: string): string {
  return `organisation-${key}`;
}

async function waitUntil(atMs: number): Promise<void> {
  await timers.setTimeout(Math.max(0, atMs - Date.now()));
}
