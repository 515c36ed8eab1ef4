import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';
import * as undici from 'undici';
import * as deployments from '../standins/deployment/Deployment.js';
import * as deploymentPlans from '../standins/deployment/DeploymentPlan.js';
import * as processes from '../standins/processes/ManagedProcess.js';
import * as cpuTimes from './getProcessCpuMs.js';
import * as lookUps from './lookUps.js';
import * as meters from './LoadMeter.js';

const ROUND_COUNT = 5;
const ROUND_MS = 3000;
const HIGH_LOAD_WORKER_COUNT = 32;
const LOW_LOAD_WORKER_COUNT = 4;
const BATCH_SIZE = 100;
const API_KEY = deploymentPlans.getApiKey('rustavi');

const FORWARDER_SCRIPT = path.resolve(
  path.dirname(url.fileURLToPath(import.meta.url)),
  '../standins/forwarder/main.js',
);

/** A server that the benchmark sends requests to. */
interface BenchmarkedServer {
  readonly name: string;
  readonly address: string;
  readonly target: string;
  readonly pid: number;
}

/** The result of one round for one server. */
interface Measurement extends meters.LoadResult {
  /** The server's processor time per request. */
  readonly cpuMicroseconds: number;
}

const PLAN: deploymentPlans.DeploymentPlan = {
  vms: [{vmId: 'vm-0', region: 'amman', failureDomain: 'amman-a'}],
  upstreams: [
    {
      upstreamId: 'upstream-0',
      serviceId: 'desk',
      region: 'amman',
      failureDomain: 'amman-a',
      slotCount: 64,
      serviceMs: 0,
      isPrintingRuns: false,
    },
  ],
  slotCount: 1,
  logLevel: 'info',
  regionDelayMs: 0,
  organisations: {
    rustavi: {name: 'Rustavi', ratePerSecond: 1e6, burstRequests: 1e6},
  },
  routes: {
    all: {
      pathPrefix: '/',
      serviceId: 'desk',
      access: 'keyed',
      execution: 'idempotent',
      budgetMs: 5000,
    },
  },
  clientBlocks: {},
};

async function measureServer(
  server: BenchmarkedServer,
  agent: undici.Agent,
  workerCount: number,
): Promise<Measurement> {
  const meter = new meters.LoadMeter(workerCount);
  const cpuBeforeMs = cpuTimes.getProcessCpuMs(server.pid);
  const result = await meter.run(ROUND_MS, async () => {
    const response = await undici.request(
      `http://${server.address}${server.target}`,
      {headers: {authorization: `Bearer ${API_KEY}`}, dispatcher: agent},
    );
    await response.body.dump();
    if (response.statusCode !== 200)
      throw new Error(`${server.name} answered ${response.statusCode}`);
  });
  const cpuMs = cpuTimes.getProcessCpuMs(server.pid) - cpuBeforeMs;
  const requestCount = (result.actionsPerSecond * ROUND_MS) / 1000;
  return {...result, cpuMicroseconds: (cpuMs * 1000) / requestCount};
}

/**
 * Measures batch requests for steering with `BATCH_SIZE` look-ups each; the rate and the processor time are those of
 * one look-up, the latencies those of one request.
 */
async function measureBatches(
  address: string,
  pid: number,
  agent: undici.Agent,
): Promise<Measurement> {
  const addresses = Array.from(
    {length: BATCH_SIZE},
    (_, index) => `10.1.${index >> 8}.${index & 255}`,
  );
  const body = JSON.stringify({addresses});
  const meter = new meters.LoadMeter(LOW_LOAD_WORKER_COUNT);
  const cpuBeforeMs = cpuTimes.getProcessCpuMs(pid);
  const result = await meter.run(ROUND_MS, async () => {
    const response = await undici.request(`http://${address}/-/steer`, {
      method: 'POST',
      body,
      dispatcher: agent,
    });
    await response.body.dump();
  });
  const cpuMs = cpuTimes.getProcessCpuMs(pid) - cpuBeforeMs;
  const lookUpsPerSecond = result.actionsPerSecond * BATCH_SIZE;
  const lookUpCount = (lookUpsPerSecond * ROUND_MS) / 1000;
  return {
    ...result,
    actionsPerSecond: lookUpsPerSecond,
    cpuMicroseconds: (cpuMs * 1000) / lookUpCount,
  };
}

function formatSpread(values: readonly number[]): string {
  const sorted = [...values].sort((a, b) => a - b);
  const median = sorted[Math.floor(sorted.length / 2)];
  return [sorted[0], median, sorted[sorted.length - 1]]
    .map(value => value.toFixed(2))
    .join(' / ');
}

function report(
  name: string,
  results: readonly Measurement[],
  baseline: readonly Measurement[],
): void {
  const ratios = results.map(
    (result, round) =>
      result.actionsPerSecond / baseline[round].actionsPerSecond,
  );
  const lines = [
    ['requests a second', results.map(result => result.actionsPerSecond)],
    ['p50 ms', results.map(result => result.p50Ms)],
    ['p99 ms', results.map(result => result.p99Ms)],
    ['CPU µs a request', results.map(result => result.cpuMicroseconds)],
    ['throughput relative to the bare forwarder', ratios],
    [
      'added p99 ms',
      results.map((result, round) => result.p99Ms - baseline[round].p99Ms),
    ],
  ] as const;
  for (const [label, values] of lines)
    process.stdout.write(`${name}: ${label}: ${formatSpread(values)}\n`);
}

/** Measures the bare forwarder and a daemon in alternate rounds, then single and batch steering requests. */
async function benchForwarding(): Promise<void> {
  const deployment = new deployments.Deployment(PLAN);
  await deployment.start();
  const target = deployment.getUpstreamOrThrow('upstream-0').address;
  const forwarder = new processes.ManagedProcess(FORWARDER_SCRIPT, [], {
    TARGET: target,
  });
  const {address} = await forwarder.waitForFirstLineOrThrow<{
    readonly address: string;
  }>();
  await deployment.bypassUpstreamProxy('upstream-0');
  const {callersAddress} = deployment.getVms()[0].addresses;
  const forwarderPid = forwarder.getPid();
  const pid = deployment.getVms()[0].process.getPid();
  const servers: readonly BenchmarkedServer[] = [
    {
      name: 'forwarder on streams',
      address,
      target: '/x?ms=0',
      pid: forwarderPid,
    },
    {
      name: 'forwarder on web responses',
      address,
      target: '/web/x?ms=0',
      pid: forwarderPid,
    },
    {name: 'daemon', address: callersAddress, target: '/x?ms=0', pid},
  ];
  const agent = new undici.Agent({connections: HIGH_LOAD_WORKER_COUNT});
  for (const workerCount of [HIGH_LOAD_WORKER_COUNT, LOW_LOAD_WORKER_COUNT]) {
    const results = servers.map((): Measurement[] => []);
    for (let round = -1; round < ROUND_COUNT; round += 1)
      for (let index = 0; index < servers.length; index += 1) {
        const result = await measureServer(servers[index], agent, workerCount);
        if (round >= 0) results[index].push(result);
      }
    process.stdout.write(`with ${workerCount} requests at a time\n`);
    servers.forEach((server, index) =>
      report(server.name, results[index], results[0]),
    );
  }
  const steeringServer = {
    name: 'steering over HTTP',
    address: callersAddress,
    target: '/-/steer?address=10.1.2.3',
    pid,
  };
  const steeringResults: Measurement[] = [];
  for (let round = 0; round < ROUND_COUNT; round += 1)
    steeringResults.push(
      await measureServer(steeringServer, agent, HIGH_LOAD_WORKER_COUNT),
    );
  report(steeringServer.name, steeringResults, steeringResults);
  const batchResults: Measurement[] = [];
  for (let round = 0; round < ROUND_COUNT; round += 1)
    batchResults.push(await measureBatches(callersAddress, pid, agent));
  report(`steering of ${BATCH_SIZE} at once`, batchResults, batchResults);
  await agent.destroy();
  await forwarder.kill();
  await deployment.stop();
}

const [cpu] = os.cpus();
process.stdout.write(
  `machine: ${os.cpus().length} x ${cpu.model}, node ${process.version}; min / median / max of ${ROUND_COUNT} rounds\n`,
);
await benchForwarding();
lookUps.benchLookUps();
