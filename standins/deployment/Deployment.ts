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
import type * as runs from '../upstream/RunEvent.js';
import * as plans from './DeploymentPlan.js';

export type {RunEvent} from '../upstream/RunEvent.js';

const BUILD_FOLDER = path.resolve(
  path.dirname(url.fileURLToPath(import.meta.url)),
  '../..',
);
const DAEMON_SCRIPT = path.join(BUILD_FOLDER, 'src/programs/daemon/main.js');
const PLATFORM_SCRIPT = path.join(BUILD_FOLDER, 'standins/platform/main.js');
const UPSTREAM_SCRIPT = path.join(BUILD_FOLDER, 'standins/upstream/main.js');
const FIRST_VM_HOST_OCTET = 11;
const POLL_INTERVAL_MS = 20;

/** The token of the operator that is configured in every deployment. */
export const OPERATOR_TOKEN = 'operator-token-for-tests';

/** An entry VM that has been started. */
export interface RunningVm {
  readonly plan: plans.VmPlan;
  readonly host: string;
  readonly settingsFile: string;
  readonly process: processes.ManagedProcess;
  readonly addresses: daemons.DaemonAddresses;

  /** The proxy through which the other VMs reach this VM. */
  readonly peersProxy: proxies.FaultProxy;

  /** The proxy through which this VM reaches the platform. */
  readonly platformProxy: proxies.FaultProxy;
}

/** An upstream that has been started. */
export interface RunningUpstream {
  readonly plan: plans.UpstreamPlan;
  readonly process: processes.ManagedProcess;
  readonly address: string;

  /** The proxy through which the VMs reach the upstream. */
  readonly proxy: proxies.FaultProxy;
}

/** A fleet of daemons, upstreams and a platform, each in its own process, with fault proxies between them. */
export class Deployment {
  private readonly plan: plans.DeploymentPlan;
  private readonly settingsFolder = fs.mkdtempSync(
    path.join(os.tmpdir(), 'bramleyrun-'),
  );
  private readonly vms = new Map<string, RunningVm>();
  private readonly upstreams = new Map<string, RunningUpstream>();
  private readonly agent = new undici.Agent({connections: 256});
  private platform: processes.ManagedProcess | undefined;
  private platformAddress = '';

  /** @param plan The processes to start and the configuration to apply. */
  constructor(plan: plans.DeploymentPlan) {
    this.plan = plan;
  }

  /** Starts all processes, applies the configuration and waits until every VM uses it. */
  async start(): Promise<void> {
    this.platform = new processes.ManagedProcess(PLATFORM_SCRIPT, []);
    this.platformAddress = (
      await this.platform.waitForFirstLineOrThrow<{readonly address: string}>()
    ).address;
    await this.listVms(this.plan.vms.map(vm => vm.vmId));
    await Promise.all(
      this.plan.upstreams.map(upstream => this.startUpstream(upstream)),
    );
    await Promise.all(
      this.plan.vms.map((vm, index) => this.startVm(vm, index)),
    );
    await this.waitUntilServing(this.plan.vms.length);
    await this.patch(this.getVms()[0].plan.vmId, this.createConfiguration());
    await this.waitForVersion(1);
  }

  /** Kills all processes, closes all proxies and deletes the settings files. */
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
    fs.rmSync(this.settingsFolder, {recursive: true});
  }

  /** Gets all started VMs in the order of the plan. */
  getVms(): readonly RunningVm[] {
    return this.plan.vms.flatMap(plan => this.vms.get(plan.vmId) ?? []);
  }

  /** Gets a VM. @throws Error when no VM has the identifier. */
  getVmOrThrow(vmId: string): RunningVm {
    const vm = this.vms.get(vmId);
    if (vm === undefined) throw new Error(`no VM ${vmId}`);
    return vm;
  }

  /** Gets all started upstreams. */
  getUpstreams(): readonly RunningUpstream[] {
    return [...this.upstreams.values()];
  }

  /** Gets an upstream. @throws Error when no upstream has the identifier. */
  getUpstreamOrThrow(upstreamId: string): RunningUpstream {
    const upstream = this.upstreams.get(upstreamId);
    if (upstream === undefined) throw new Error(`no upstream ${upstreamId}`);
    return upstream;
  }

  /** Waits until this process has received all lines that the upstreams have printed so far. */
  async waitForRunEvents(): Promise<void> {
    for (const {process, address} of this.getUpstreams()) {
      if (!process.isRunning()) continue;
      const {lineCount} = await this.postJson<{readonly lineCount: number}>(
        `http://${address}/control`,
        {},
      );
      await waitFor(() => process.getJsonLines().length > lineCount);
    }
  }

  /** Gets the events of all requests that the upstreams ran, as far as this process has received them. */
  getRunEvents(): readonly runs.RunEvent[] {
    return this.getUpstreams().flatMap(upstream =>
      upstream.process
        .getJsonLines()
        .filter((line): line is runs.RunEvent => 'run' in line),
    );
  }

  /** Starts a VM's process; after a kill it starts again with its previous ports and proxies. */
  async startVm(plan: plans.VmPlan, index: number): Promise<void> {
    const previous = this.vms.get(plan.vmId);
    const host = `127.0.0.${FIRST_VM_HOST_OCTET + index}`;
    const ports = previous && getPorts(previous.addresses);
    const platformProxy =
      previous?.platformProxy ?? new proxies.FaultProxy(this.platformAddress);
    const platformAddress = previous
      ? readPlatformAddress(previous.settingsFile)
      : await platformProxy.open();
    const peersPort = ports?.peers ?? (await findFreePort(host));
    const peersProxy =
      previous?.peersProxy ?? new proxies.FaultProxy(`${host}:${peersPort}`);
    const settingsFile = path.join(this.settingsFolder, `${plan.vmId}.toml`);
    const peersAddress = previous
      ? readPeersAddress(previous.settingsFile)
      : await peersProxy.open();
    const text = formatSettings({
      plan,
      host,
      callersPort: ports?.callers ?? 0,
      peersPort,
      peersAddress,
      platformAddress,
      slotCount: this.plan.slotCount,
      logLevel: this.plan.logLevel ?? 'debug',
      memoryMb: this.plan.memoryMb,
    });
    fs.writeFileSync(settingsFile, text);
    const {heapMb} = this.plan;
    const process = new processes.ManagedProcess(
      DAEMON_SCRIPT,
      ['--settings', settingsFile],
      heapMb === undefined
        ? {}
        : {NODE_OPTIONS: `--max-old-space-size=${heapMb}`},
    );
    const addresses =
      await process.waitForFirstLineOrThrow<daemons.DaemonAddresses>();
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

  /** Starts a killed VM's process again at its previous addresses. */
  async restartVm(vmId: string): Promise<void> {
    const index = this.plan.vms.findIndex(vm => vm.vmId === vmId);
    await this.startVm(this.plan.vms[index], index);
  }

  /** Drops all traffic between a VM and its peers in both directions, or forwards it again. */
  setPeerIsolation(vmId: string, isIsolated: boolean): void {
    const isolatedVm = this.getVmOrThrow(vmId);
    const fault: proxies.ProxyFault = isIsolated
      ? {kind: 'freeze'}
      : {kind: 'none'};
    isolatedVm.peersProxy.setFault(fault);
    for (const vm of this.getVms()) {
      if (vm !== isolatedVm) vm.peersProxy.setFault(fault, isolatedVm.host);
      isolatedVm.peersProxy.setFault(fault, vm.host);
    }
    if (!isIsolated) this.setRegionDelays();
  }

  /** Sets the faults that the platform injects. */
  async setPlatformFaults(faults: object): Promise<void> {
    await this.postJson(`http://${this.platformAddress}/control`, faults);
  }

  /** Gets the number of calls that the platform has left unanswered since its faults were last set. */
  async getHeldCount(): Promise<number> {
    const address = `http://${this.platformAddress}/control`;
    const {heldCount} = (await (await fetch(address)).json()) as {
      readonly heldCount: number;
    };
    return heldCount;
  }

  /** Gets the rows of the platform's table whose keys begin with a prefix; no fault applies to this call. */
  async readPlatformRows(
    prefix: string,
  ): Promise<readonly platform.TableRow[]> {
    const response = await undici.request(
      `http://${this.platformAddress}/control/rows?prefix=${encodeURIComponent(prefix)}`,
    );
    return (await response.body.json()) as readonly platform.TableRow[];
  }

  /** Sets the fault of the connections to every upstream. */
  setUpstreamFaults(fault: proxies.ProxyFault): void {
    for (const upstream of this.getUpstreams()) upstream.proxy.setFault(fault);
  }

  /** Replaces the platform's list of live VMs. */
  async listVms(vmIds: readonly string[]): Promise<void> {
    const vms = vmIds.map(vmId => ({vmId, status: 'live'}));
    await this.postJson(`http://${this.platformAddress}/control/vms`, vms);
  }

  /** Sets the status, mode or reported load of an upstream. */
  async controlUpstream(upstreamId: string, controls: object): Promise<void> {
    const {address} = this.getUpstreamOrThrow(upstreamId);
    await this.postJson(`http://${address}/control`, controls);
  }

  /** Calls a JSON-RPC method of a VM's operators' listener. @throws Error with the message of the JSON-RPC error. */
  async callOperatorMethod<T>(
    vmId: string,
    method: string,
    params = {},
  ): Promise<T> {
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

  /** Patches the current version of the configuration through a VM. */
  async patch<T = object>(vmId: string, patch: object): Promise<T> {
    const {version} =
      await this.callOperatorMethod<configurations.Configuration>(
        vmId,
        'showConfiguration',
      );
    return await this.patchVersion<T>(vmId, version, patch);
  }

  /** Patches a given version of the configuration through a VM. */
  async patchVersion<T = object>(
    vmId: string,
    baseVersion: number,
    patch: object,
    changeId: string = crypto.randomUUID(),
  ): Promise<T> {
    return await this.callOperatorMethod<T>(vmId, 'patch', {
      baseVersion,
      patch: {kind: 'mergePatch', patch},
      isDryRun: false,
      changeId,
    });
  }

  /** Sends a caller's request to a VM; the timeout is 15 s by default. */
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
    } catch (error) {
      const text = error instanceof Error ? error.message : String(error);
      return {httpStatus: 0, headers: {}, text};
    }
  }

  /** Gets the address of a VM's callers' listener as host:port. */
  getCallersAddress(vmId: string): string {
    return this.getVmOrThrow(vmId).addresses.callersAddress;
  }

  /** Configures the VMs to connect to an upstream directly, without its fault proxy. */
  async bypassUpstreamProxy(upstreamId: string): Promise<void> {
    const {address} = this.getUpstreamOrThrow(upstreamId);
    const [host, port] = address.split(':');
    const upstreams = {[upstreamId]: {host, port: Number(port)}};
    await this.patch(this.getVms()[0].plan.vmId, {upstreams});
  }

  /** Waits until every running VM reports that it uses a configuration version, or a later one. */
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

  /** Waits until every running VM reports `isFresh` and its steering answer contains `count` VMs, up to MAX_CHOICES. */
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

  /** Gets the health report of a VM. */
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
      RECORDS: plan.isPrintingRuns === false ? 'off' : 'on',
    });
    const {address} = await process.waitForFirstLineOrThrow<{
      readonly address: string;
    }>();
    const proxy = new proxies.FaultProxy(address);
    await proxy.open();
    this.upstreams.set(plan.upstreamId, {plan, process, address, proxy});
  }

  private createConfiguration(): configurations.ConfigurationDocument {
    const {organisations, routes, clientBlocks} = this.plan;
    const keys = Object.fromEntries(
      Object.keys(organisations).map(organisationId => [
        `key-${organisationId}`,
        {
          organisationId,
          digestSha256Hex: getDigestHex(plans.getApiKey(organisationId)),
          status: 'granted' as const,
        },
      ]),
    );
    const upstreams = Object.fromEntries(
      this.getUpstreams().map(upstream => [
        upstream.plan.upstreamId,
        toUpstreamEntry(upstream),
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

  private async postJson<T>(address: string, body: object): Promise<T> {
    const response = await undici.request(address, {
      method: 'POST',
      body: JSON.stringify(body),
    });
    return (await response.body.json()) as T;
  }
}

/** The answer that a caller received; when the request failed, the status is 0 and the text is the error's message. */
export interface CallerAnswer {
  readonly httpStatus: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly text: string;
}

/** Polls until a condition holds, without a timeout. */
export async function waitFor(
  isMet: () => Promise<boolean> | boolean,
): Promise<void> {
  while (!(await isMet()))
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
}

/** Gets the SHA-256 digest of a text in hexadecimal. */
export function getDigestHex(text: string): string {
  return crypto.createHash('sha256').update(text).digest('hex');
}

function toUpstreamEntry(upstream: RunningUpstream): configurations.Upstream {
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

function formatSettings(values: {
  readonly plan: plans.VmPlan;
  readonly host: string;
  readonly callersPort: number;
  readonly peersPort: number;
  readonly peersAddress: string;
  readonly platformAddress: string;
  readonly slotCount: number;
  readonly logLevel: string;
  readonly memoryMb: number | undefined;
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
${values.memoryMb === undefined ? '' : `[memory]\nlimitMb = ${values.memoryMb}\n`}`;
}
