import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import * as undici from 'undici';
import * as processes from '../../standins/processes/ManagedProcess.js';
import * as stores from '../../standins/store/PublishedStore.js';
import * as upstreams from '../../standins/store/PublishedUpstream.js';
import * as callers from './RawCaller.js';

const CALLERS_PORT = 8668;
const PROGRAM = path.join(import.meta.dirname, '../../platform/main.js');
const READY_CHECK_MS = 20;
const READY_TIMEOUT_MS = 15_000;
const OTHER_ADDRESS_COUNT = 200;

const DOMAINS: readonly (readonly [string, string])[] = [
  ['amman-a', 'amman'],
  ['irbid-a', 'irbid'],
];

/** A caller's answer. */
export interface CallerAnswer {
  readonly httpStatus: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

/** What a caller sends; the rest is drawn. */
export interface CallerCall {
  readonly method?: 'GET' | 'POST';
  readonly path?: string;
  readonly key?: string;
  readonly object?: string;
  readonly requestId?: string;
  readonly waitMs?: number;
}

/** A route as the operator writes it. */
export interface FleetRoute {
  readonly prefix: string;
  readonly kind: 'safe' | 'unsafe';
  readonly service: string;
  readonly timeout?: string;
}

/** An organisation as the operator writes it. */
export interface FleetOrganisation {
  readonly name: string;
  readonly keys: readonly string[];
  readonly ratePerSecond: number;
}

/** Gets the organisations of a fleet that has one, which holds one key and has no limit. */
export function getSoleOrganisation(key: string): readonly FleetOrganisation[] {
  return [{name: 'rustavi', keys: [key], ratePerSecond: 0}];
}

/** Runs a test over a fleet whose store is open; the fleet is ended in any case. */
export async function withFleet(
  run: (fleet: EntryFleet) => Promise<void>,
  program = PROGRAM,
): Promise<void> {
  const fleet = new EntryFleet(program);
  try {
    await fleet.open();
    await run(fleet);
  } finally {
    await fleet.close();
  }
}

interface Vm {
  readonly host: string;
  readonly process: processes.ManagedProcess;
  readonly settingsFile: string;
}

/** Real processes of the entry program beside a store and upstreams that speak as published. */
export class EntryFleet {
  /** The store. */
  readonly store = new stores.PublishedStore();

  private readonly upstreams: upstreams.PublishedUpstream[] = [];
  private readonly vms: Vm[] = [];
  private readonly folder = fs.mkdtempSync(path.join(os.tmpdir(), 'entry-'));
  private readonly agent = new undici.Agent({pipelining: 1});
  private storeAddress = '';
  private configurationVersion = 0;
  private nextRequest = 0;
  private readonly program: string;

  /** @param program The file that the VMs run. */
  constructor(program = PROGRAM) {
    this.program = program;
  }

  /** Starts the store, which stays empty. */
  async open(): Promise<void> {
    this.storeAddress = await this.store.open();
  }

  /** Ends every process and stand-in of this fleet. */
  async close(): Promise<void> {
    await Promise.all(this.vms.map(vm => vm.process.kill()));
    for (const upstream of this.upstreams) upstream.close();
    this.store.close();
    await this.agent.destroy();
    fs.rmSync(this.folder, {recursive: true, force: true});
  }

  /** Writes a version of the configuration. */
  configure(
    routes: readonly FleetRoute[],
    organisations: readonly FleetOrganisation[],
  ): void {
    this.configurationVersion += 3;
    const services = [...new Set(routes.map(route => route.service))];
    this.store.put('op', 'config', {
      Version: `r${this.configurationVersion}`,
      Routes: {
        Columns: [
          'Name',
          'Host',
          'Prefix',
          'Kind',
          'Timeout',
          'TargetLatency',
          'Priority',
          'Service',
          'Attempts',
          'Public',
          'StickySessions',
        ],
        Rows: routes.map(route => [
          route.prefix,
          'a.example',
          route.prefix,
          route.kind,
          route.timeout ?? '1500ms',
          '400ms',
          1,
          route.service,
          2,
          false,
          true,
        ]),
      },
      Services: {
        Columns: ['Name', 'HealthCheckPath', 'ColdStart', 'ColdPerS'],
        Rows: services.map(service => [service, '/health', '3s', 11]),
      },
      Limits: {
        MaxHeaderBytes: 16384,
        MaxBodyBytes: 1_000_000,
        HeaderTimeout: '3000ms',
        IdleTimeout: '15000ms',
      },
      Tenants: {
        Columns: ['Name', 'ApiKeys', 'Priority', 'RequestsPerS', 'Burst'],
        Rows: organisations.map(organisation => [
          organisation.name,
          organisation.keys,
          1,
          organisation.ratePerSecond,
          organisation.ratePerSecond,
        ]),
      },
    });
  }

  /** Starts an upstream and registers it. */
  async addUpstream(
    service: string,
    domain = 'amman-a',
    slotCount = 8,
  ): Promise<upstreams.PublishedUpstream> {
    const upstreamId = `i-${this.upstreams.length}`;
    const upstream = new upstreams.PublishedUpstream(upstreamId);
    upstream.slotCount = slotCount;
    await upstream.open();
    this.upstreams.push(upstream);
    this.store.put('servers', upstreamId, upstream.getEntry(service, domain));
    return upstream;
  }

  /** Starts an upstream without an entry; gives it with its address. */
  async openUpstream(upstreamId: string): Promise<{
    readonly upstream: upstreams.PublishedUpstream;
    readonly address: string;
  }> {
    const upstream = new upstreams.PublishedUpstream(upstreamId);
    const address = await upstream.open();
    return {upstream, address};
  }

  /** Starts VMs, one in each domain in turn, and waits until they are ready. */
  async addVms(count: number): Promise<void> {
    const from = this.vms.length;
    for (let index = from; index < from + count; index++) {
      const host = getHost(index);
      const settingsFile = path.join(this.folder, `vm-${index}.conf`);
      const [domain, region] = DOMAINS[index % DOMAINS.length];
      fs.writeFileSync(
        settingsFile,
        this.getSettings(`vm-${index}`, host, domain, region),
      );
      const process = startProcess(this.program, settingsFile);
      this.vms.push({host, settingsFile, process});
    }
    for (let index = from; index < from + count; index++)
      await this.waitForReady(index);
  }

  /** Starts a VM's process again after its end. */
  restart(index: number): void {
    const vm = this.vms[index];
    this.vms[index] = {
      ...vm,
      process: startProcess(this.program, vm.settingsFile),
    };
  }

  /** Gets a VM's process. */
  getProcess(index: number): processes.ManagedProcess {
    return this.vms[index].process;
  }

  /** Gets the address from which a VM calls the store, also before it is added. */
  getVmHost(index: number): string {
    return getHost(index);
  }

  /** Waits until a VM says that it is ready. */
  async waitForReady(index: number): Promise<void> {
    await this.waitFor(async () => {
      const answer = await undici.request(
        `http://${this.vms[index].host}:8666/api/readiness`,
        {dispatcher: this.agent},
      );
      await answer.body.dump();
      return answer.statusCode === 200;
    });
  }

  /** Waits until something holds. @throws Error when it does not in time. */
  async waitFor(isTrue: () => Promise<boolean> | boolean): Promise<void> {
    const deadlineMs = performance.now() + READY_TIMEOUT_MS;
    for (;;) {
      // A VM that does not listen yet is not ready.
      const isDone = await Promise.resolve()
        .then(isTrue)
        .catch(() => false);
      if (isDone) return;
      if (performance.now() > deadlineMs) throw new Error('waited in vain');
      await timers.setTimeout(READY_CHECK_MS);
    }
  }

  /** Waits until a table is read once more, or a wait for its changes begins. */
  async waitForRead(table: string): Promise<void> {
    const known = this.store.getReadCount(table);
    await this.waitFor(() => this.store.getReadCount(table) > known);
  }

  /** Asks a VM which VMs a caller of a domain may use. */
  async steer(index: number, domain: string): Promise<readonly string[]> {
    const [, region] = DOMAINS.find(([name]) => name === domain) ?? ['', ''];
    const answer = await undici.request(
      `http://${this.vms[index].host}:8665/api/resolution?Name=a.example&Region=${region}&Zone=${domain}`,
      {dispatcher: this.agent},
    );
    const body = (await answer.body.json()) as {Addresses: string[]};
    return body.Addresses;
  }

  /** Opens a connection to a VM on which requests can be pipelined. */
  async connect(index: number): Promise<callers.RawCaller> {
    return await callers.RawCaller.connect(this.vms[index].host, CALLERS_PORT);
  }

  /** Calls a VM as a caller does. */
  async call(index: number, call: CallerCall = {}): Promise<CallerAnswer> {
    const requestId = call.requestId ?? `r${this.nextRequest++}`;
    const path = call.path ?? '/look/x';
    const url = `http://${this.vms[index].host}:${CALLERS_PORT}${path}`;
    const answer = await undici.request(url, {
      dispatcher: this.agent,
      method: call.method ?? 'GET',
      headers: {
        host: 'a.example',
        'x-request-id': requestId,
        'x-affinity-key': call.object ?? '7',
        'x-request-deadline': String(call.waitMs ?? 3000),
        authorization: `Bearer ${call.key ?? 'k1'}`,
        'x-tenant': 'forged',
      },
      body: call.method === 'POST' ? 'the body' : null,
    });
    const text = await answer.body.text();
    return {httpStatus: answer.statusCode, headers: answer.headers, text};
  }

  private getSettings(
    vmId: string,
    host: string,
    domain: string,
    region: string,
  ): string {
    return [
      `NodeName=${vmId}`,
      `IpAddress=${host}`,
      `Zone=${domain}`,
      `Region=${region}`,
      ...DOMAINS.map(([name, of]) => `Zones.${name}=${of}`),
      `ListenAddresses.Front=${host}:${CALLERS_PORT}`,
      `ListenAddresses.Ready=${host}:8666`,
      `ListenAddresses.Directory=${host}:8665`,
      'InternalPortRange=7220,7235',
      'HeartbeatInterval=1500ms',
      'Bounds=Drain=2500ms,GracePeriod=6s,RetryBudgetRatio=0.2,BudgetWindow=10s,BudgetSlack=60,QuotaWindow=5s,ttl_max=5s',
      `Platform.Address=${this.storeAddress}`,
    ].join('\n');
  }
}

/** Gets a loopback address that no other test process uses: each process has a block of its own. */
function getHost(index: number): string {
  const block = process.pid % (250 * 250);
  const high = 2 + Math.floor(block / 250);
  return `127.${high}.${2 + (block % 250)}.${2 + (index % OTHER_ADDRESS_COUNT)}`;
}

function startProcess(
  program: string,
  settingsFile: string,
): processes.ManagedProcess {
  return new processes.ManagedProcess(program, [], {
    BRAMLEYRUN_SETTINGS: settingsFile,
  });
}
