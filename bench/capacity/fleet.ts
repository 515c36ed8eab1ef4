import * as deployments from '../../standins/deployment/Deployment.js';
import type * as deploymentPlans from '../../standins/deployment/DeploymentPlan.js';
import * as cpuTimes from '../getProcessCpuMs.js';
import * as fits from './fit.js';

const FLEET_SIZES: readonly number[] = [3, 7, 14, 21];
const MEASUREMENT_MS = 10_000;
const ORGANISATION_COUNT = 8;
const TARGET_VM_COUNT = 2400;
const BYTES_PER_KB = 1000;
const BYTES_PER_MB = 1_000_000;

/** What one daemon uses for coordination with its peers while it receives no requests from callers. */
interface ControlCost {
  readonly corePercent: number;
  readonly kbPerSecond: number;
  readonly messagesPerSecond: number;
  readonly residentMb: number;
}

function createPlan(vmCount: number): deploymentPlans.DeploymentPlan {
  const organisations = Object.fromEntries(
    Array.from({length: ORGANISATION_COUNT}, (_, index) => [
      `organisation-${index}`,
      {name: `Organisation ${index}`, ratePerSecond: 20, burstRequests: 20},
    ]),
  );
  return {
    vms: Array.from({length: vmCount}, (_, index) => ({
      vmId: `vm-${index}`,
      region: `region-${index % 3}`,
      failureDomain: `domain-${index % 6}`,
    })),
    upstreams: [],
    slotCount: vmCount,
    logLevel: 'info',
    regionDelayMs: 0,
    organisations,
    routes: {},
    clientBlocks: {},
  };
}

async function readMetric(
  vm: deployments.RunningVm,
  name: string,
): Promise<number> {
  const {metricsAddress} = vm.addresses;
  const response = await fetch(`http://${metricsAddress}/metrics`);
  const pattern = new RegExp(`^${name} (\\S+)$`, 'm');
  return Number(pattern.exec(await response.text())?.[1] ?? 0);
}

async function measureFleet(vmCount: number): Promise<ControlCost> {
  const deployment = new deployments.Deployment(createPlan(vmCount));
  await deployment.start();
  const vms = deployment.getVms();
  const readCounters = async () => ({
    cpuMs: sumValues(
      vms.map(vm => cpuTimes.getProcessCpuMs(vm.process.getPid())),
    ),
    peerBytes: sumValues(vms.map(vm => vm.peersProxy.getReceivedBytes())),
    peerCallCount: sumValues(
      await Promise.all(
        vms.map(vm => readMetric(vm, 'bramleyrun_peer_calls_total')),
      ),
    ),
  });
  const before = await readCounters();
  const startedAtMs = performance.now();
  await new Promise(resolve => setTimeout(resolve, MEASUREMENT_MS));
  const after = await readCounters();
  const seconds = (performance.now() - startedAtMs) / 1000;
  const residentBytes = await readMetric(
    vms[0],
    'process_resident_memory_bytes',
  );
  await deployment.stop();
  const vmSeconds = seconds * vmCount;
  return {
    corePercent: ((after.cpuMs - before.cpuMs) / 1000 / vmSeconds) * 100,
    kbPerSecond:
      (after.peerBytes - before.peerBytes) / BYTES_PER_KB / vmSeconds,
    messagesPerSecond: (after.peerCallCount - before.peerCallCount) / vmSeconds,
    residentMb: residentBytes / BYTES_PER_MB,
  };
}

/** Measures and prints what a daemon uses for coordination with its peers in fleets of several sizes. */
export async function measureFleets(): Promise<void> {
  const costs: {readonly size: number; readonly cost: ControlCost}[] = [];
  for (const size of FLEET_SIZES)
    costs.push({size, cost: await measureFleet(size)});
  const printCost = (unit: string, getValue: (cost: ControlCost) => number) =>
    fits.printFit(
      'peers, one daemon in a full mesh',
      unit,
      'VM',
      costs.map(({size, cost}) => ({size, value: getValue(cost)})),
      TARGET_VM_COUNT,
    );
  printCost('% of a core', cost => cost.corePercent);
  printCost('KB a second', cost => cost.kbPerSecond);
  printCost('calls sent a second', cost => cost.messagesPerSecond);
  printCost('MB resident', cost => cost.residentMb);
}

function sumValues(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
