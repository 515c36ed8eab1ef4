import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import * as undici from 'undici';
import * as processes from '../../standins/processes/ManagedProcess.js';
import * as stores from '../../standins/store/FakeStore.js';
import * as upstreams from '../../standins/store/FakeUpstream.js';
import * as rawUpstreams from '../../standins/store/RawUpstream.js';
import * as callers from './RawCaller.js';

const CALLERS_PORT = 8668;
const PROGRAM = path.join(import.meta.dirname, '../../platform/main.js');
const CONDITION_POLL_INTERVAL_MS = 20;
const CONDITION_TIMEOUT_MS = 15_000;
const VM_ADDRESS_COUNT = 200;

const REGIONS_BY_FAILURE_DOMAIN: readonly (readonly [string, string])[] = [
  ['amman-a', 'amman'],
  ['irbid-a', 'irbid'],
];

/** The answer that a caller receives. */
export interface CallerAnswer {
  readonly httpStatus: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

/** The fields of a caller's request; `call` fills in those that are omitted. `waitMs` is sent as the remaining time. */
export interface CallerRequest {
  readonly method?: 'GET' | 'POST';
  readonly path?: string;
  readonly key?: string;
  readonly object?: string;
  readonly requestId?: string;
  readonly waitMs?: number;

  /** The body of a POST request; a short text by default. */
  readonly body?: Buffer;
}

/** A route in the configuration that the test writes as the operator. */
export interface FleetRoute {
  readonly prefix: string;
  readonly kind: 'safe' | 'unsafe';
  readonly service: string;
  readonly timeout?: string;
}

/** An organisation in the configuration that the test writes as the operator; a rate of 0 means no limit. */
export interface FleetOrganisation {
  readonly name: string;
  readonly keys: readonly string[];
  readonly ratePerSecond: number;
}

/** Returns one organisation with the given key and no rate limit. */
export function getSoleOrganisation(key: string): readonly FleetOrganisation[] {
  return [{name: 'rustavi', keys: [key], ratePerSecond: 0}];
}

/** How the VMs' processes are started. */
export interface FleetOptions {
  /** The path of the entry program. */
  readonly program?: string;

  /** The arguments of the entry program. */
  readonly programArguments?: readonly string[];

  /** The limit of each process's heap in MiB; the runtime's own limit when omitted. */
  readonly heapMb?: number;

  /** The setting `Limits.MemoryMb`; left out when omitted. */
  readonly memoryMb?: number;

  /** The setting `Admission`; left out when omitted. */
  readonly admission?: string;

  /** The largest body of a request in the operators' configuration; 1 MB by default. */
  readonly maxBodyBytes?: number;
}

/** Runs a test with a fleet whose store is running, and stops the fleet even when the test throws. */
export async function withFleet(
  run: (fleet: EntryFleet) => Promise<void>,
  options: FleetOptions = {},
): Promise<void> {
  const fleet = new EntryFleet(options);
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

/** Entry VMs as separate processes, with stand-ins for the platform's store and upstreams that use its protocols. */
export class EntryFleet {
  /** The stand-in for the platform's store. */
  readonly store = new stores.FakeStore();

  private readonly upstreams: upstreams.FakeUpstream[] = [];
  private readonly rawUpstreams: rawUpstreams.RawUpstream[] = [];
  private readonly vms: Vm[] = [];
  private readonly folder = fs.mkdtempSync(path.join(os.tmpdir(), 'entry-'));
  private readonly agent = new undici.Agent({pipelining: 1});
  private storeAddress = '';
  private configurationVersion = 0;
  private configuration: object = {};
  private nextRequest = 0;
  private readonly options: FleetOptions;

  /** @param options How the VMs' processes are started. */
  constructor(options: FleetOptions = {}) {
    this.options = options;
  }

  /** Starts the store without any rows. */
  async open(): Promise<void> {
    this.storeAddress = await this.store.open();
  }

  /** Kills the VMs' processes, stops the stand-ins and removes the settings files. */
  async close(): Promise<void> {
    await Promise.all(this.vms.map(vm => vm.process.kill()));
    for (const upstream of this.upstreams) upstream.close();
    for (const upstream of this.rawUpstreams) upstream.close();
    this.store.close();
    await this.agent.destroy();
    fs.rmSync(this.folder, {recursive: true, force: true});
  }

  /** Writes a configuration with a new version to the store. */
  configure(
    routes: readonly FleetRoute[],
    organisations: readonly FleetOrganisation[],
  ): void {
    this.configurationVersion += 3;
    const services = [...new Set(routes.map(route => route.service))];
    this.configuration = {
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
        MaxBodyBytes: this.options.maxBodyBytes ?? 1_000_000,
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
    };
    this.rewriteConfiguration();
  }

  /** Writes the newest configuration to the store again, with the version that it has. */
  rewriteConfiguration(): void {
    this.store.put('op', 'config', this.configuration);
  }

  /** Starts an upstream and writes its entry to the store. */
  async addUpstream(
    service: string,
    failureDomain = 'amman-a',
    slotCount = 8,
  ): Promise<upstreams.FakeUpstream> {
    const upstreamId = `i-${this.upstreams.length}`;
    const upstream = new upstreams.FakeUpstream(upstreamId);
    upstream.slotCount = slotCount;
    await upstream.open();
    this.upstreams.push(upstream);
    this.store.put(
      'servers',
      upstreamId,
      upstream.getEntry(service, failureDomain),
    );
    return upstream;
  }

  /** Starts an upstream that answers with given bytes, and writes its entry to the store. */
  async addRawUpstream(service: string): Promise<rawUpstreams.RawUpstream> {
    const upstreamId = `raw-${this.rawUpstreams.length}`;
    const upstream = new rawUpstreams.RawUpstream();
    this.rawUpstreams.push(upstream);
    const entry = new upstreams.FakeUpstream(upstreamId).getEntry(
      service,
      'amman-a',
    );
    const Address = await upstream.open();
    this.store.put('servers', upstreamId, {...entry, Address});
    return upstream;
  }

  /** Starts an upstream without an entry in the store; returns it with its address. The caller closes it. */
  async startUnregisteredUpstream(upstreamId: string): Promise<{
    readonly upstream: upstreams.FakeUpstream;
    readonly address: string;
  }> {
    const upstream = new upstreams.FakeUpstream(upstreamId);
    const address = await upstream.open();
    return {upstream, address};
  }

  /** Starts VMs, alternating between the failure domains, and waits until they are ready. */
  async addVms(count: number): Promise<void> {
    const from = this.vms.length;
    for (let index = from; index < from + count; index++) this.startVm();
    for (let index = from; index < from + count; index++)
      await this.waitForReady(index);
  }

  /** Starts another VM without waiting until it is ready; returns its index. */
  startVm(): number {
    const index = this.vms.length;
    const host = getHost(index);
    const settingsFile = path.join(this.folder, `vm-${index}.conf`);
    const [failureDomain, region] =
      REGIONS_BY_FAILURE_DOMAIN[index % REGIONS_BY_FAILURE_DOMAIN.length];
    fs.writeFileSync(
      settingsFile,
      this.getSettings(`vm-${index}`, host, failureDomain, region),
    );
    const process = startProcess(this.options, settingsFile);
    this.vms.push({host, settingsFile, process});
    return index;
  }

  /** Starts a VM's process again after it has exited. */
  restart(index: number): void {
    const vm = this.vms[index];
    this.vms[index] = {
      ...vm,
      process: startProcess(this.options, vm.settingsFile),
    };
  }

  /** Sends SIGTERM to a VM's process and waits until its stop has begun. */
  async stop(index: number): Promise<void> {
    const {process} = this.vms[index];
    process.signal('SIGTERM');
    await this.waitFor(() => process.getLog().includes('event=daemonStopping'));
  }

  /** Returns a VM's current process. */
  getProcess(index: number): processes.ManagedProcess {
    return this.vms[index].process;
  }

  /** Returns the IP address from which a VM connects to the store, also for a VM that is not yet added. */
  getVmHost(index: number): string {
    return getHost(index);
  }

  /** Waits until a VM's readiness check returns status 200. */
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

  /** Waits until a condition is met; an error in the condition counts as not met. @throws Error after a timeout. */
  async waitFor(
    isConditionMet: () => Promise<boolean> | boolean,
  ): Promise<void> {
    const deadlineMs = performance.now() + CONDITION_TIMEOUT_MS;
    for (;;) {
      // Requests fail until the VM listens.
      const isMet = await Promise.resolve()
        .then(isConditionMet)
        .catch(() => false);
      if (isMet) return;
      if (performance.now() > deadlineMs)
        throw new Error('the condition was not met in time');
      await timers.setTimeout(CONDITION_POLL_INTERVAL_MS);
    }
  }

  /** Waits until the store receives another request to read a table or to wait for changes of it. */
  async waitForRead(table: string): Promise<void> {
    const readCountBefore = this.store.getReadCount(table);
    await this.waitFor(() => this.store.getReadCount(table) > readCountBefore);
  }

  /** Requests a steering answer from a VM for a caller in a failure domain; returns the addresses in the answer. */
  async steer(
    index: number,
    failureDomain: string,
  ): Promise<readonly string[]> {
    const [, region] = REGIONS_BY_FAILURE_DOMAIN.find(
      ([name]) => name === failureDomain,
    ) ?? ['', ''];
    const answer = await undici.request(
      `http://${this.vms[index].host}:8665/api/resolution?Name=a.example&Region=${region}&Zone=${failureDomain}`,
      {dispatcher: this.agent},
    );
    const body = (await answer.body.json()) as {Addresses: string[]};
    return body.Addresses;
  }

  /** Opens a connection to a VM that allows the test to pipeline requests, over a link with the given rate. */
  async connect(
    index: number,
    receivedBytesPerSecond?: number,
  ): Promise<callers.RawCaller> {
    return await callers.RawCaller.connect(
      this.vms[index].host,
      CALLERS_PORT,
      receivedBytesPerSecond,
    );
  }

  /** Sends a caller's request to a VM. */
  async call(index: number, call: CallerRequest = {}): Promise<CallerAnswer> {
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
      body: call.method === 'POST' ? (call.body ?? 'the body') : null,
    });
    const text = await answer.body.text();
    return {httpStatus: answer.statusCode, headers: answer.headers, text};
  }

  private getSettings(
    vmId: string,
    host: string,
    failureDomain: string,
    region: string,
  ): string {
    return [
      `NodeName=${vmId}`,
      `IpAddress=${host}`,
      `Zone=${failureDomain}`,
      `Region=${region}`,
      ...REGIONS_BY_FAILURE_DOMAIN.map(([name, of]) => `Zones.${name}=${of}`),
      `ListenAddresses.Front=${host}:${CALLERS_PORT}`,
      `ListenAddresses.Ready=${host}:8666`,
      `ListenAddresses.Directory=${host}:8665`,
      'InternalPortRange=7220,7235',
      'HeartbeatInterval=1500ms',
      'Bounds=Drain=2500ms,GracePeriod=6s,RetryBudgetRatio=0.2,BudgetWindow=10s,BudgetSlack=60,QuotaWindow=5s,ttl_max=5s',
      `Platform.Address=${this.storeAddress}`,
      ...(this.options.admission === undefined
        ? []
        : [`Admission=${this.options.admission}`]),
      ...(this.options.memoryMb === undefined
        ? []
        : [`Limits.MemoryMb=${this.options.memoryMb}`]),
    ].join('\n');
  }
}

/** Returns a loopback address for a VM; each test process has its own block, so that parallel tests don't collide. */
function getHost(index: number): string {
  const block = process.pid % (250 * 250);
  const secondOctet = 2 + Math.floor(block / 250);
  return `127.${secondOctet}.${2 + (block % 250)}.${2 + (index % VM_ADDRESS_COUNT)}`;
}

function startProcess(
  {program = PROGRAM, programArguments = [], heapMb}: FleetOptions,
  settingsFile: string,
): processes.ManagedProcess {
  return new processes.ManagedProcess(program, programArguments, {
    BRAMLEYRUN_SETTINGS: settingsFile,
    ...(heapMb === undefined
      ? {}
      : {NODE_OPTIONS: `--max-old-space-size=${heapMb}`}),
  });
}
