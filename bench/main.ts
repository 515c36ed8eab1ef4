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

const ROUNDS = 5;
const ROUND_MS = 3000;
const BUSY_WORKERS = 32;
const QUIET_WORKERS = 4;
const BATCH_SIZE = 100;
const KEY = deploymentPlans.getKey('rustavi');

const FORWARDER = path.resolve(
  path.dirname(url.fileURLToPath(import.meta.url)),
  '../standins/forwarder/main.js',
);

/** Something that requests can be sent through. */
interface Contender {
  readonly name: string;
  readonly address: string;
  readonly target: string;
  readonly pid: number;
}

/** What a contender came to in one round. */
interface Measurement extends meters.LoadResult {
  /** Processor time that the contender spent on each request. */
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

async function measure(
  contender: Contender,
  agent: undici.Agent,
  workerCount: number,
): Promise<Measurement> {
  const meter = new meters.LoadMeter(workerCount);
  const cpuBeforeMs = cpuTimes.getProcessCpuMs(contender.pid);
  const result = await meter.run(ROUND_MS, async () => {
    const response = await undici.request(
      `http://${contender.address}${contender.target}`,
      {headers: {authorization: `Bearer ${KEY}`}, dispatcher: agent},
    );
    await response.body.dump();
    if (response.statusCode !== 200)
      throw new Error(`${contender.name} answered ${response.statusCode}`);
  });
  const cpuMs = cpuTimes.getProcessCpuMs(contender.pid) - cpuBeforeMs;
  const requestCount = (result.perSecond * ROUND_MS) / 1000;
  return {...result, cpuMicroseconds: (cpuMs * 1000) / requestCount};
}

/** Look-ups of many callers in one request; the figures are of one look-up. */
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
  const meter = new meters.LoadMeter(QUIET_WORKERS);
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
  const perSecond = result.perSecond * BATCH_SIZE;
  const lookUpCount = (perSecond * ROUND_MS) / 1000;
  return {...result, perSecond, cpuMicroseconds: (cpuMs * 1000) / lookUpCount};
}

function getSpread(values: readonly number[]): string {
  const sorted = [...values].sort((a, b) => a - b);
  const middle = sorted[Math.floor(sorted.length / 2)];
  return [sorted[0], middle, sorted[sorted.length - 1]]
    .map(value => value.toFixed(2))
    .join(' / ');
}

function report(
  name: string,
  results: readonly Measurement[],
  base: readonly Measurement[],
): void {
  const ratios = results.map(
    (result, round) => result.perSecond / base[round].perSecond,
  );
  const lines = [
    ['requests a second', results.map(result => result.perSecond)],
    ['p50 ms', results.map(result => result.p50Ms)],
    ['p99 ms', results.map(result => result.p99Ms)],
    ['CPU µs a request', results.map(result => result.cpuMicroseconds)],
    ['throughput beside the bare forwarder', ratios],
    [
      'added p99 ms',
      results.map((result, round) => result.p99Ms - base[round].p99Ms),
    ],
  ] as const;
  for (const [label, values] of lines)
    process.stdout.write(`${name}: ${label}: ${getSpread(values)}\n`);
}

/** Requests through a daemon beside a bare forwarder, in turns. */
async function benchForwarding(): Promise<void> {
  const deployment = new deployments.Deployment(PLAN);
  await deployment.start();
  const target = deployment.getUpstreamOrThrow('upstream-0').address;
  const forwarder = new processes.ManagedProcess(FORWARDER, [], {
    TARGET: target,
  });
  const {address} = await forwarder.waitForFirstLineOrThrow<{
    readonly address: string;
  }>();
  await deployment.bypassUpstreamProxy('upstream-0');
  const {callersAddress} = deployment.getVms()[0].addresses;
  const forwarderPid = forwarder.getPid();
  const pid = deployment.getVms()[0].process.getPid();
  const contenders: readonly Contender[] = [
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
  const agent = new undici.Agent({connections: BUSY_WORKERS});
  for (const workerCount of [BUSY_WORKERS, QUIET_WORKERS]) {
    const results = contenders.map((): Measurement[] => []);
    for (let round = -1; round < ROUNDS; round += 1)
      for (let index = 0; index < contenders.length; index += 1) {
        const result = await measure(contenders[index], agent, workerCount);
        if (round >= 0) results[index].push(result);
      }
    process.stdout.write(`with ${workerCount} requests at a time\n`);
    contenders.forEach((contender, index) =>
      report(contender.name, results[index], results[0]),
    );
  }
  const steering = {
    name: 'steering over HTTP',
    address: callersAddress,
    target: '/-/steer?address=10.1.2.3',
    pid,
  };
  const steered: Measurement[] = [];
  for (let round = 0; round < ROUNDS; round += 1)
    steered.push(await measure(steering, agent, BUSY_WORKERS));
  report(steering.name, steered, steered);
  const batched: Measurement[] = [];
  for (let round = 0; round < ROUNDS; round += 1)
    batched.push(await measureBatches(callersAddress, pid, agent));
  report(`steering of ${BATCH_SIZE} at once`, batched, batched);
  await agent.destroy();
  await forwarder.kill();
  await deployment.stop();
}

const [cpu] = os.cpus();
process.stdout.write(
  `machine: ${os.cpus().length} x ${cpu.model}, node ${process.version}; min / median / max of ${ROUNDS} rounds\n`,
);
await benchForwarding();
lookUps.benchLookUps();
