import * as test from 'node:test';
import * as earl from 'earl';
import * as deployments from '../../standins/deployment/Deployment.js';
import * as deploymentPlans from '../../standins/deployment/DeploymentPlan.js';
import * as excess from '../support/virtual/getRateLimitExcess.js';
import * as plans from './plans.js';

const RATE_PER_SECOND = 40;
const BURST_REQUESTS = 5;
const CALLER_COUNT = 14;
const PHASE_REQUEST_COUNT = 300;

/** Tolerance in tokens, because admission times are logged in whole milliseconds. */
const ROUNDING_TOLERANCE_TOKENS = (2 * RATE_PER_SECOND) / 1000;

/**
 * What sums of floating-point numbers may differ by; an admission that is another millisecond early exceeds the tolerance
 * by 0.04.
 */
const FLOAT_ERROR_TOKENS = 1e-9;

type FaultName = 'none' | 'kill' | 'freeze' | 'isolate' | 'storeDown';

const FAULTS: readonly FaultName[] = [
  'none',
  'storeDown',
  'kill',
  'freeze',
  'isolate',
];

const KEY = deploymentPlans.getApiKey('rustavi');

const deployment = new deployments.Deployment(
  plans.getPlan({
    vmCount: 7,
    upstreamCount: 3,
    regionDelayMs: 20,
    organisations: {
      rustavi: {
        name: 'Rustavi',
        ratePerSecond: RATE_PER_SECOND,
        burstRequests: BURST_REQUESTS,
      },
    },
  }),
);

/** Logs of processes that were killed; a restarted VM has a new log. */
const killedProcessLogs: string[] = [];

/** Returns the times in milliseconds at which all processes of all VMs admitted requests, read from their logs. */
function getAdmissionTimesMs(): readonly number[] {
  const currentLogs = deployment.getVms().map(vm => vm.process.getLog());
  const pattern = /event=requestAdmitted organisation=rustavi atMs=(\d+)/g;
  return [...killedProcessLogs, ...currentLogs].flatMap(log =>
    [...log.matchAll(pattern)].map(match => Number(match[1])),
  );
}

async function injectFault(fault: FaultName, vmId: string): Promise<void> {
  const {process} = deployment.getVmOrThrow(vmId);
  switch (fault) {
    case 'none':
      return;
    case 'kill':
      await process.kill();
      killedProcessLogs.push(process.getLog());
      return;
    case 'freeze':
      process.signal('SIGSTOP');
      return;
    case 'isolate':
      deployment.setPeerIsolation(vmId, true);
      return;
    case 'storeDown':
      await deployment.setPlatformFaults({outage: 'refuse'});
      return;
  }
}

async function clearFaults(vmId: string): Promise<void> {
  await deployment.setPlatformFaults({});
  const {process} = deployment.getVmOrThrow(vmId);
  process.signal('SIGCONT');
  if (!process.isRunning()) await deployment.restartVm(vmId);
  deployment.setPeerIsolation(vmId, false);
  await deployment.waitUntilServing(7);
}

/** Sends one phase of requests through all VMs, at several times the organisation's rate. */
async function sendLoad(): Promise<void> {
  let sentCount = 0;
  const callers = Array.from({length: CALLER_COUNT}, async (_, caller) => {
    while (sentCount < PHASE_REQUEST_COUNT) {
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
  'an organisation that sends several times its rate through seven VMs',
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
          `never exceeds rate and burst, fault ${fault} at ${vmId}`,
          async () => {
            await sendLoad();
            await injectFault(fault, vmId);
            await sendLoad();
            await sendLoad();
            await clearFaults(vmId);
            await sendLoad();
            const admittedAtMs = getAdmissionTimesMs();
            const over = excess.getRateLimitExcess(admittedAtMs, {
              ratePerSecond: RATE_PER_SECOND,
              burst: BURST_REQUESTS,
            });
            earl.expect(admittedAtMs.length).toBeGreaterThan(0);
            earl
              .expect(over)
              .toBeLessThanOrEqual(
                ROUNDING_TOLERANCE_TOKENS + FLOAT_ERROR_TOKENS,
              );
          },
        );
  },
);
