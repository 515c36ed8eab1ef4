import * as test from 'node:test';
import * as earl from 'earl';
import * as deployments from '../../standins/deployment/Deployment.js';
import * as deploymentPlans from '../../standins/deployment/DeploymentPlan.js';
import * as excess from '../support/virtual/getExcess.js';
import * as plans from './plans.js';

const RATE_PER_SECOND = 40;
const BURST = 5;
const CALLERS = 14;
const PHASE_REQUESTS = 300;

/** Admissions are logged in whole milliseconds. */
const ROUNDING_TOKENS = (2 * RATE_PER_SECOND) / 1000;

type FaultName = 'none' | 'kill' | 'freeze' | 'cutOff' | 'storeDown';

const FAULTS: readonly FaultName[] = [
  'none',
  'storeDown',
  'kill',
  'freeze',
  'cutOff',
];

const KEY = deploymentPlans.getKey('rustavi');

const deployment = new deployments.Deployment(
  plans.getPlan({
    vmCount: 7,
    upstreamCount: 3,
    regionDelayMs: 20,
    organisations: {
      rustavi: {
        name: 'Rustavi',
        ratePerSecond: RATE_PER_SECOND,
        burstRequests: BURST,
      },
    },
  }),
);

const logs: string[] = [];

/** Gets when requests were admitted, over all VMs and processes. */
function getAdmissions(): readonly number[] {
  const current = deployment.getVms().map(vm => vm.process.getLog());
  const pattern = /event=requestAdmitted organisation=rustavi atMs=(\d+)/g;
  return [...logs, ...current].flatMap(log =>
    [...log.matchAll(pattern)].map(match => Number(match[1])),
  );
}

async function inject(fault: FaultName, vmId: string): Promise<void> {
  const {process} = deployment.getVmOrThrow(vmId);
  switch (fault) {
    case 'none':
      return;
    case 'kill':
      await process.kill();
      logs.push(process.getLog());
      return;
    case 'freeze':
      process.signal('SIGSTOP');
      return;
    case 'cutOff':
      deployment.cutFromPeers(vmId, true);
      return;
    case 'storeDown':
      await deployment.setPlatformFaults({outage: 'refuse'});
      return;
  }
}

async function heal(vmId: string): Promise<void> {
  await deployment.setPlatformFaults({});
  const {process} = deployment.getVmOrThrow(vmId);
  process.signal('SIGCONT');
  if (!process.isRunning()) await deployment.restartVm(vmId);
  deployment.cutFromPeers(vmId, false);
  await deployment.waitUntilServing(7);
}

/** Sends requests at several times the rate through all VMs. */
async function load(): Promise<void> {
  let sentCount = 0;
  const callers = Array.from({length: CALLERS}, async (_, caller) => {
    while (sentCount < PHASE_REQUESTS) {
      const vmId = `vm-${(caller + sentCount) % 7}`;
      sentCount += 1;
      await deployment.request(vmId, '/look-up/x', {
        key: KEY,
        timeoutMs: 1000,
      });
    }
  });
  await Promise.all(callers);
}

void test.describe(
  'one organisation over seven VMs at several times its rate',
  {timeout: 600_000},
  () => {
    test.before(async () => {
      await deployment.start();
    });

    test.after(async () => {
      await deployment.stop();
    });

    for (const fault of FAULTS)
      for (const vmId of ['vm-2', 'vm-5'])
        void test.it(
          `keeps every window, fault ${fault} of ${vmId}`,
          async () => {
            await load();
            await inject(fault, vmId);
            await load();
            await load();
            await heal(vmId);
            await load();
            const admissions = getAdmissions();
            const over = excess.getExcess(admissions, {
              ratePerSecond: RATE_PER_SECOND,
              burst: BURST,
            });
            earl.expect(admissions.length).toBeGreaterThan(0);
            earl.expect(over).toBeLessThanOrEqual(ROUNDING_TOKENS);
          },
        );
  },
);
