import * as deployments from '../../standins/deployment/Deployment.js';
import type * as deploymentPlans from '../../standins/deployment/DeploymentPlan.js';
import * as cpuTimes from '../getProcessCpuMs.js';
import * as fits from './fit.js';

const FLEET_SIZES: readonly number[] = [3, 7, 14, 21];
const QUIET_MS = 10_000;
const ORGANISATION_COUNT = 8;
const TARGET_VMS = 2400;
const BYTES_PER_KB = 1000;
const BYTES_PER_MB = 1_000_000;

/** What one daemon spends on control while no caller comes. */
interface ControlCost {
  readonly corePercent: number;
  readonly kbPerSecond: number;
  readonly messagesPerSecond: number;
  readonly residentMb: number;
}

function getPlan(vmCount: number): deploymentPlans.DeploymentPlan {
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

async function measure(vmCount: number): Promise<ControlCost> {
  const deployment = new deployments.Deployment(getPlan(vmCount));
  await deployment.start();
  const vms = deployment.getVms();
  const read = async () => ({
    cpuMs: getSum(vms.map(vm => cpuTimes.getProcessCpuMs(vm.process.getPid()))),
    bytes: getSum(vms.map(vm => vm.peersProxy.getReceivedBytes())),
    calls: getSum(
      await Promise.all(
        vms.map(vm => readMetric(vm, 'bramleyrun_peer_calls_total')),
      ),
    ),
  });
  const before = await read();
  const startedAtMs = performance.now();
  await new Promise(resolve => setTimeout(resolve, QUIET_MS));
  const after = await read();
  const seconds = (performance.now() - startedAtMs) / 1000;
  const residentBytes = await readMetric(
    vms[0],
    'process_resident_memory_bytes',
  );
  await deployment.stop();
  const each = seconds * vmCount;
  return {
    corePercent: ((after.cpuMs - before.cpuMs) / 1000 / each) * 100,
    kbPerSecond: (after.bytes - before.bytes) / BYTES_PER_KB / each,
    messagesPerSecond: (after.calls - before.calls) / each,
    residentMb: residentBytes / BYTES_PER_MB,
  };
}

/** Measures what control costs a daemon in fleets of several sizes. */
export async function measureFleets(): Promise<void> {
  const costs: {readonly size: number; readonly cost: ControlCost}[] = [];
  for (const size of FLEET_SIZES) costs.push({size, cost: await measure(size)});
  const print = (unit: string, getValue: (cost: ControlCost) => number) =>
    fits.printFit(
      'peers, one daemon in a full mesh',
      unit,
      'VM',
      costs.map(({size, cost}) => ({size, value: getValue(cost)})),
      TARGET_VMS,
    );
  print('% of a core', cost => cost.corePercent);
  print('KB a second', cost => cost.kbPerSecond);
  print('calls sent a second', cost => cost.messagesPerSecond);
  print('MB resident', cost => cost.residentMb);
}

function getSum(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
