import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';
import * as jsonRpc from 'json-rpc-2.0';
import * as undici from 'undici';
import * as decisions from '../../src/decisions/index.js';
import type * as configurations from '../../src/model/configuration/index.js';
import type * as platform from '../../src/model/platform/index.js';
import type * as daemons from '../../src/programs/daemon/Daemon.js';
import * as processes from '../processes/ManagedProcess.js';
import * as proxies from '../proxy/FaultProxy.js';
import type * as runs from '../upstream/Run.js';
import * as plans from './DeploymentPlan.js';

export type {Run} from '../upstream/Run.js';

const BUILD = path.resolve(
  path.dirname(url.fileURLToPath(import.meta.url)),
  '../..',
);
const DAEMON_SCRIPT = path.join(BUILD, 'src/programs/daemon/main.js');
const PLATFORM_SCRIPT = path.join(BUILD, 'standins/platform/main.js');
const UPSTREAM_SCRIPT = path.join(BUILD, 'standins/upstream/main.js');
const FIRST_HOST_OCTET = 11;
const POLL_MS = 20;

/** The token of the operator that every deployment has. */
export const OPERATOR_TOKEN = 'operator-token-for-tests';

/** One entry VM as it runs. */
export interface RunningVm {
  readonly plan: plans.VmPlan;
  readonly host: string;
  readonly settingsFile: string;
  readonly process: processes.ManagedProcess;
  readonly addresses: daemons.DaemonAddresses;
  readonly peersProxy: proxies.FaultProxy;
  readonly platformProxy: proxies.FaultProxy;
}

/** One upstream as it runs. */
export interface RunningUpstream {
  readonly plan: plans.UpstreamPlan;
  readonly process: processes.ManagedProcess;
  readonly address: string;

  /** Between the VMs and the upstream. */
  readonly proxy: proxies.FaultProxy;
}

/** Daemons, upstreams and a platform as processes, with fault proxies between them. */
export class Deployment {
  private readonly plan: plans.DeploymentPlan;
  private readonly folder = fs.mkdtempSync(
    path.join(os.tmpdir(), 'bramleyrun-'),
  );
  private readonly vms = new Map<string, RunningVm>();
  private readonly upstreams = new Map<string, RunningUpstream>();
  private readonly agent = new undici.Agent({connections: 256});
  private platform: processes.ManagedProcess | undefined;
  private platformAddress = '';

  /** @param plan What is started. */
  constructor(plan: plans.DeploymentPlan) {
    this.plan = plan;
  }

  /** Starts everything, puts the configuration in force and waits until every VM has it. */
  async start(): Promise<void> {
    this.platform = new processes.ManagedProcess(PLATFORM_SCRIPT, []);
    this.platformAddress = (
      await this.platform.getFirstLineOrThrow<{readonly address: string}>()
    ).address;
    await this.listVms(this.plan.vms.map(vm => vm.vmId));
    await Promise.all(
      this.plan.upstreams.map(upstream => this.startUpstream(upstream)),
    );
    await Promise.all(
      this.plan.vms.map((vm, index) => this.startVm(vm, index)),
    );
    await this.waitUntilServing(this.plan.vms.length);
    await this.patch(this.getVms()[0].plan.vmId, this.getDocument());
    await this.waitForVersion(1);
  }

  /** Kills every process and closes every proxy. */
  async stop(): Promise<void> {
    const vms = this.getVms();
    const upstreams = [...this.upstreams.values()];
    await Promise.all([
      this.platform?.kill(),
      ...vms.map(vm => vm.process.kill()),
      ...upstreams.map(upstream => upstream.process.kill()),
    ]);
    await Promise.all([
      ...vms.flatMap(vm => [vm.peersProxy.close(), vm.platformProxy.close()]),
      ...upstreams.map(upstream => upstream.proxy.close()),
      this.agent.destroy(),
    ]);
    fs.rmSync(this.folder, {recursive: true});
  }

  /** Gets every VM in the order of the plan. */
  getVms(): readonly RunningVm[] {
    return this.plan.vms.flatMap(plan => this.vms.get(plan.vmId) ?? []);
  }

  /** Gets a VM. @throws Error when none has that name. */
  getVmOrThrow(vmId: string): RunningVm {
    const vm = this.vms.get(vmId);
    if (vm === undefined) throw new Error(`no VM ${vmId}`);
    return vm;
  }

  /** Gets every upstream. */
  getUpstreams(): readonly RunningUpstream[] {
    return [...this.upstreams.values()];
  }

  /** Gets an upstream. @throws Error when none has that name. */
  getUpstreamOrThrow(upstreamId: string): RunningUpstream {
    const upstream = this.upstreams.get(upstreamId);
    if (upstream === undefined) throw new Error(`no upstream ${upstreamId}`);
    return upstream;
  }

  /** Waits until all that the upstreams have printed so far has come here. */
  async syncRuns(): Promise<void> {
    for (const {process, address} of this.getUpstreams()) {
      if (!process.isRunning()) continue;
      const {lineCount} = await this.post<{readonly lineCount: number}>(
        `http://${address}/control`,
        {},
      );
      await waitFor(() => process.getLines().length > lineCount);
    }
  }

  /** Gets all that the upstreams ran, as far as it has come here. */
  getRuns(): readonly runs.Run[] {
    return this.getUpstreams().flatMap(upstream =>
      upstream.process
        .getLines()
        .filter((line): line is runs.Run => 'run' in line),
    );
  }

  /** Starts a VM's process, anew after a kill. */
  async startVm(plan: plans.VmPlan, index: number): Promise<void> {
    const known = this.vms.get(plan.vmId);
    const host = `127.0.0.${FIRST_HOST_OCTET + index}`;
    const ports = known && getPorts(known.addresses);
    const platformProxy =
      known?.platformProxy ?? new proxies.FaultProxy(this.platformAddress);
    const platformAddress = known
      ? readPlatformAddress(known.settingsFile)
      : await platformProxy.open();
    const peersPort = ports?.peers ?? (await findFreePort(host));
    const peersProxy =
      known?.peersProxy ?? new proxies.FaultProxy(`${host}:${peersPort}`);
    const settingsFile = path.join(this.folder, `${plan.vmId}.toml`);
    const peersAddress = known
      ? readPeersAddress(known.settingsFile)
      : await peersProxy.open();
    const text = getSettings({
      plan,
      host,
      callersPort: ports?.callers ?? 0,
      peersPort,
      peersAddress,
      platformAddress,
      slotCount: this.plan.slotCount,
      logLevel: this.plan.logLevel ?? 'debug',
    });
    fs.writeFileSync(settingsFile, text);
    const process = new processes.ManagedProcess(DAEMON_SCRIPT, [
      '--settings',
      settingsFile,
    ]);
    const addresses =
      await process.getFirstLineOrThrow<daemons.DaemonAddresses>();
    this.vms.set(plan.vmId, {
      plan,
      host,
      settingsFile,
      process,
      addresses,
      peersProxy,
      platformProxy,
    });
    this.setRegionDelays();
  }

  /** Starts a killed VM's process again at its old addresses. */
  async restartVm(vmId: string): Promise<void> {
    const index = this.plan.vms.findIndex(vm => vm.vmId === vmId);
    await this.startVm(this.plan.vms[index], index);
  }

  /** Cuts a VM off from all its peers, in both directions. */
  cutFromPeers(vmId: string, isCut: boolean): void {
    const own = this.getVmOrThrow(vmId);
    const fault: proxies.ProxyFault = isCut ? {kind: 'freeze'} : {kind: 'none'};
    own.peersProxy.setFault(fault);
    for (const vm of this.getVms()) {
      if (vm !== own) vm.peersProxy.setFault(fault, own.host);
      own.peersProxy.setFault(fault, vm.host);
    }
    if (!isCut) this.setRegionDelays();
  }

  /** Sets how the platform misbehaves. */
  async setPlatformFaults(faults: object): Promise<void> {
    await this.post(`http://${this.platformAddress}/control`, faults);
  }

  /** Gets how many calls the platform holds without an answer. */
  async getHeldCount(): Promise<number> {
    const address = `http://${this.platformAddress}/control`;
    const {heldCount} = (await (await fetch(address)).json()) as {
      readonly heldCount: number;
    };
    return heldCount;
  }

  /** Gets the rows of the platform's table whose keys begin with a prefix, past every fault. */
  async readRows(prefix: string): Promise<readonly platform.TableRow[]> {
    const response = await undici.request(
      `http://${this.platformAddress}/control/rows?prefix=${encodeURIComponent(prefix)}`,
    );
    return (await response.body.json()) as readonly platform.TableRow[];
  }

  /** Sets what every upstream's connections suffer. */
  setUpstreamFaults(fault: proxies.ProxyFault): void {
    for (const upstream of this.getUpstreams()) upstream.proxy.setFault(fault);
  }

  /** Replaces the platform's list of live VMs. */
  async listVms(vmIds: readonly string[]): Promise<void> {
    const vms = vmIds.map(vmId => ({vmId, status: 'live'}));
    await this.post(`http://${this.platformAddress}/control/vms`, vms);
  }

  /** Sets how an upstream behaves. */
  async controlUpstream(upstreamId: string, wanted: object): Promise<void> {
    const {address} = this.getUpstreamOrThrow(upstreamId);
    await this.post(`http://${address}/control`, wanted);
  }

  /** Calls a method of a VM's operators' listener. @throws Error with the answer's error. */
  async operate<T>(vmId: string, method: string, params = {}): Promise<T> {
    const {operatorsAddress} = this.getVmOrThrow(vmId).addresses;
    const client: jsonRpc.JSONRPCClient = new jsonRpc.JSONRPCClient(
      async payload => {
        const response = await undici.request(
          `http://${operatorsAddress}/rpc`,
          {
            method: 'POST',
            headers: {authorization: `Bearer ${OPERATOR_TOKEN}`},
            body: JSON.stringify(payload),
          },
        );
        client.receive((await response.body.json()) as never);
      },
    );
    return (await client.request(method, params)) as T;
  }

  /** Patches the newest version of the configuration through a VM. */
  async patch<T = object>(vmId: string, patch: object): Promise<T> {
    const {version} = await this.operate<configurations.Configuration>(
      vmId,
      'showConfiguration',
    );
    return await this.patchVersion<T>(vmId, version, patch);
  }

  /** Patches a version of the configuration through a VM. */
  async patchVersion<T = object>(
    vmId: string,
    baseVersion: number,
    patch: object,
    changeId: string = crypto.randomUUID(),
  ): Promise<T> {
    return await this.operate<T>(vmId, 'patch', {
      baseVersion,
      patch: {kind: 'mergePatch', patch},
      isDryRun: false,
      changeId,
    });
  }

  /** Sends a caller's request to a VM. */
  async request(
    vmId: string,
    target: string,
    options: {
      readonly key?: string;
      readonly method?: 'GET' | 'POST';
      readonly body?: string;
      readonly idempotencyKey?: string;
      readonly headers?: Readonly<Record<string, string>>;
      readonly timeoutMs?: number;
    } = {},
  ): Promise<CallerAnswer> {
    const callersAddress = this.getCallersAddress(vmId);
    const headers: Record<string, string> = {...options.headers};
    if (options.key !== undefined)
      headers['authorization'] = `Bearer ${options.key}`;
    if (options.idempotencyKey !== undefined)
      headers['idempotency-key'] = options.idempotencyKey;
    try {
      const response = await undici.request(
        `http://${callersAddress}${target}`,
        {
          method: options.method ?? 'GET',
          headers,
          body: options.body ?? null,
          dispatcher: this.agent,
          signal: AbortSignal.timeout(options.timeoutMs ?? 15_000),
        },
      );
      const text = await response.body.text();
      return {
        httpStatus: response.statusCode,
        headers: response.headers as Readonly<Record<string, string>>,
        text,
      };
    } catch (thrown) {
      const text = thrown instanceof Error ? thrown.message : String(thrown);
      return {httpStatus: 0, headers: {}, text};
    }
  }

  /** Gets a VM's callers' listener as host:port. */
  getCallersAddress(vmId: string): string {
    return this.getVmOrThrow(vmId).addresses.callersAddress;
  }

  /** Lets VMs reach an upstream without the proxy before it. */
  async bypassUpstreamProxy(upstreamId: string): Promise<void> {
    const {address} = this.getUpstreamOrThrow(upstreamId);
    const [host, port] = address.split(':');
    const upstreams = {[upstreamId]: {host, port: Number(port)}};
    await this.patch(this.getVms()[0].plan.vmId, {upstreams});
  }

  /** Waits until every running VM answers that a version is in force. */
  async waitForVersion(version: number): Promise<void> {
    await waitFor(async () => {
      for (const vm of this.getVms()) {
        if (!vm.process.isRunning()) continue;
        const health = await this.getHealth(vm.plan.vmId);
        if (health.configurationVersion < version) return false;
      }
      return true;
    });
  }

  /** Waits until every running VM is fresh and steers callers to `count` VMs. */
  async waitUntilServing(count: number): Promise<void> {
    await waitFor(async () => {
      for (const vm of this.getVms()) {
        if (!vm.process.isRunning()) continue;
        if (!(await this.getHealth(vm.plan.vmId)).isFresh) return false;
        const {text} = await this.request(vm.plan.vmId, '/-/steer');
        const {choices} = JSON.parse(text) as {readonly choices: object[]};
        if (choices.length !== Math.min(count, decisions.MAX_CHOICES))
          return false;
      }
      return true;
    });
  }

  /** Gets what a VM says of itself. */
  async getHealth(vmId: string): Promise<{
    readonly isFresh: boolean;
    readonly configurationVersion: number;
    readonly slotCount: number;
  }> {
    const {text} = await this.request(vmId, '/-/health');
    return JSON.parse(text) as never;
  }

  private async startUpstream(plan: plans.UpstreamPlan): Promise<void> {
    const process = new processes.ManagedProcess(UPSTREAM_SCRIPT, [], {
      UPSTREAM_ID: plan.upstreamId,
      SLOTS: String(plan.slotCount),
      SERVICE_MS: String(plan.serviceMs),
      RECORDS: plan.isRecording === false ? 'off' : 'on',
    });
    const {address} = await process.getFirstLineOrThrow<{
      readonly address: string;
    }>();
    const proxy = new proxies.FaultProxy(address);
    await proxy.open();
    this.upstreams.set(plan.upstreamId, {plan, process, address, proxy});
  }

  private getDocument(): configurations.ConfigurationDocument {
    const {organisations, routes, clientBlocks} = this.plan;
    const keys = Object.fromEntries(
      Object.keys(organisations).map(organisationId => [
        `key-${organisationId}`,
        {
          organisationId,
          digestSha256Hex: getDigestHex(plans.getKey(organisationId)),
          status: 'granted' as const,
        },
      ]),
    );
    const upstreams = Object.fromEntries(
      this.getUpstreams().map(upstream => [
        upstream.plan.upstreamId,
        getUpstream(upstream),
      ]),
    );
    return {organisations, keys, routes, upstreams, shifts: {}, clientBlocks};
  }

  private setRegionDelays(): void {
    const {regionDelayMs} = this.plan;
    if (regionDelayMs === 0) return;
    for (const target of this.getVms())
      for (const source of this.getVms())
        if (source.plan.region !== target.plan.region)
          target.peersProxy.setFault(
            {kind: 'delay', delayMs: regionDelayMs},
            source.host,
          );
  }

  private async post<T>(address: string, body: object): Promise<T> {
    const response = await undici.request(address, {
      method: 'POST',
      body: JSON.stringify(body),
    });
    return (await response.body.json()) as T;
  }
}

/** What a caller got; the status is 0 when the connection broke. */
export interface CallerAnswer {
  readonly httpStatus: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly text: string;
}

/** Waits until a condition holds. */
export async function waitFor(
  isMet: () => Promise<boolean> | boolean,
): Promise<void> {
  while (!(await isMet()))
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
}

/** Gets the SHA-256 digest of a text, in hexadecimal. */
export function getDigestHex(text: string): string {
  return crypto.createHash('sha256').update(text).digest('hex');
}

function getUpstream(upstream: RunningUpstream): configurations.Upstream {
  const [host, port] = upstream.proxy.getAddress().split(':');
  const {serviceId, region, failureDomain, slotCount} = upstream.plan;
  return {
    serviceId,
    host,
    port: Number(port),
    region,
    failureDomain,
    slotCount,
    status: 'active',
  };
}

function getPorts(addresses: daemons.DaemonAddresses): {
  readonly callers: number;
  readonly peers: number;
} {
  const getPort = (address: string) => Number(address.split(':')[1]);
  return {
    callers: getPort(addresses.callersAddress),
    peers: getPort(addresses.peersAddress),
  };
}

async function findFreePort(host: string): Promise<number> {
  const net = await import('node:net');
  return await new Promise(resolve => {
    const server = net.createServer().listen(0, host, () => {
      const {port} = server.address() as {readonly port: number};
      server.close(() => resolve(port));
    });
  });
}

function readPlatformAddress(settingsFile: string): string {
  return readValue(settingsFile, /url = "http:\/\/([^"]+)"/);
}

function readPeersAddress(settingsFile: string): string {
  return readValue(settingsFile, /peersAddress = "([^"]+)"/);
}

function readValue(file: string, pattern: RegExp): string {
  return pattern.exec(fs.readFileSync(file, 'utf8'))?.[1] ?? '';
}

function getSettings(values: {
  readonly plan: plans.VmPlan;
  readonly host: string;
  readonly callersPort: number;
  readonly peersPort: number;
  readonly peersAddress: string;
  readonly platformAddress: string;
  readonly slotCount: number;
  readonly logLevel: string;
}): string {
  const {plan, host} = values;
  return `
peerSecret = "a-secret-that-peers-share"

[vm]
vmId = "${plan.vmId}"
region = "${plan.region}"
failureDomain = "${plan.failureDomain}"

[listeners]
callers = "${host}:${values.callersPort}"
operators = "${host}:0"
peers = "${host}:${values.peersPort}"
metrics = "${host}:0"

[advertised]
peersAddress = "${values.peersAddress}"

[platform]
kind = "http"
url = "http://${values.platformAddress}"

[[operators]]
operatorId = "tester"
tokenSha256Hex = "${getDigestHex(OPERATOR_TOKEN)}"

[fleet]
slotCount = ${values.slotCount}

[log]
level = "${values.logLevel}"
`;
}
