import * as test from 'node:test';
import * as earl from 'earl';
import * as deployments from '../../standins/deployment/Deployment.js';
import * as deploymentPlans from '../../standins/deployment/DeploymentPlan.js';
import * as plans from './plans.js';

/** The steps of an at-most-once request at which faults are injected. */
type StepName =
  | 'beforeClaim'
  | 'claimWritten'
  | 'dispatched'
  | 'running'
  | 'answered'
  | 'stored';

type FaultName =
  | 'none'
  | 'killDaemon'
  | 'freezeDaemon'
  | 'cutUpstreams'
  | 'freezeUpstreams'
  | 'storeRefuses'
  | 'storeLosesAnswers';

const STEPS: readonly StepName[] = [
  'beforeClaim',
  'claimWritten',
  'dispatched',
  'running',
  'answered',
  'stored',
];

const FAULTS: readonly FaultName[] = [
  'none',
  'killDaemon',
  'freezeDaemon',
  'cutUpstreams',
  'freezeUpstreams',
  'storeRefuses',
  'storeLosesAnswers',
];

/** Two faults that are injected one after the other at the same step. */
interface FaultPair {
  readonly step: StepName;
  readonly first: FaultName;
  readonly second: FaultName;
}

const FAULT_PAIRS: readonly FaultPair[] = [
  {step: 'claimWritten', first: 'killDaemon', second: 'storeRefuses'},
  {step: 'claimWritten', first: 'freezeDaemon', second: 'cutUpstreams'},
  {step: 'dispatched', first: 'killDaemon', second: 'cutUpstreams'},
  {step: 'dispatched', first: 'freezeDaemon', second: 'storeLosesAnswers'},
  {step: 'running', first: 'killDaemon', second: 'storeRefuses'},
  {step: 'running', first: 'freezeDaemon', second: 'cutUpstreams'},
  {step: 'answered', first: 'killDaemon', second: 'storeLosesAnswers'},
  {step: 'answered', first: 'storeRefuses', second: 'cutUpstreams'},
];

const KEY = deploymentPlans.getApiKey('rustavi');
const FIRST_VM_ID = 'vm-0';
const SECOND_VM_ID = 'vm-1';

const deployment = new deployments.Deployment(
  plans.getPlan({vmCount: 3, upstreamCount: 3}),
);

/** Makes requests stall at a step until `clearFaults` runs; the steps `running` and `stored` need no stall. */
async function stallAtStep(step: StepName): Promise<void> {
  switch (step) {
    case 'beforeClaim':
      await deployment.setPlatformFaults({outage: 'hang'});
      return;
    case 'claimWritten':
      await deployment.setPlatformFaults({outage: 'holdAnswers'});
      return;
    case 'dispatched':
      deployment.setUpstreamFaults({kind: 'freeze'});
      return;
    case 'answered':
      deployment.setUpstreamFaults({kind: 'dropAnswers'});
      return;
    case 'running':
    case 'stored':
      return;
  }
}

/** Whether the request with an idempotency key has reached a step. */
async function hasReachedStep(
  step: StepName,
  idempotencyKey: string,
): Promise<boolean> {
  const digest = deployments.getDigestHex(idempotencyKey);
  const [row] = await deployment.readPlatformRows(`claim/rustavi/${digest}`);
  const runs = getRuns(idempotencyKey);
  switch (step) {
    case 'beforeClaim':
      return (await deployment.getHeldCount()) > 0;
    case 'claimWritten':
    case 'dispatched':
      return row !== undefined;
    case 'running':
      return runs.length > 0;
    case 'answered':
      return runs.some(run => run.run === 'finished');
    case 'stored':
      return row !== undefined && row.value.includes('"answered"');
  }
}

/** Sends a request until it reaches a step, again after each rejection; returns the answers of all attempts. */
async function sendUntilStepReached(
  step: StepName,
  idempotencyKey: string,
): Promise<readonly Promise<deployments.CallerAnswer>[]> {
  const pendingAnswers: Promise<deployments.CallerAnswer>[] = [];
  for (;;) {
    let isRejected = false;
    const pendingAnswer = sendRequest(FIRST_VM_ID, idempotencyKey);
    void pendingAnswer.then(answer => (isRejected = answer.httpStatus !== 200));
    pendingAnswers.push(pendingAnswer);
    let isReached = false;
    await deployments.waitFor(async () => {
      isReached = await hasReachedStep(step, idempotencyKey);
      return isReached || isRejected;
    });
    if (isReached) return pendingAnswers;
  }
}

async function injectFault(fault: FaultName): Promise<void> {
  const {process} = deployment.getVmOrThrow(FIRST_VM_ID);
  switch (fault) {
    case 'none':
      return;
    case 'killDaemon':
      await process.kill();
      return;
    case 'freezeDaemon':
      process.signal('SIGSTOP');
      return;
    case 'cutUpstreams':
      deployment.setUpstreamFaults({kind: 'cut'});
      return;
    case 'freezeUpstreams':
      deployment.setUpstreamFaults({kind: 'freeze'});
      return;
    case 'storeRefuses':
      await deployment.setPlatformFaults({outage: 'refuse'});
      return;
    case 'storeLosesAnswers':
      await deployment.setPlatformFaults({
        lostAnswerCount: 3,
        lostAnswerPrefix: 'claim/',
      });
      return;
  }
}

/** Removes all faults and stalls, and restarts the first VM if it was killed. */
async function clearFaults(): Promise<void> {
  deployment.setUpstreamFaults({kind: 'none'});
  await deployment.setPlatformFaults({});
  const {process} = deployment.getVmOrThrow(FIRST_VM_ID);
  process.signal('SIGCONT');
  if (!process.isRunning()) await deployment.restartVm(FIRST_VM_ID);
  await deployment.waitUntilServing(3);
}

function getRuns(idempotencyKey: string): readonly deployments.RunEvent[] {
  return deployment
    .getRunEvents()
    .filter(run => run.idempotencyKey === idempotencyKey);
}

function sendRequest(
  vmId: string,
  idempotencyKey: string,
): Promise<deployments.CallerAnswer> {
  return deployment.request(vmId, '/doors/7?ms=150', {
    key: KEY,
    method: 'POST',
    body: 'open',
    idempotencyKey,
  });
}

/**
 * Checks that the request ran at most once, that answers which claim that it was not run are true, and that all
 * successful answers are equal.
 */
async function checkAtMostOnce(
  idempotencyKey: string,
  answers: readonly deployments.CallerAnswer[],
): Promise<void> {
  await deployment.waitForRunEvents();
  const started = getRuns(idempotencyKey).filter(run => run.run === 'started');
  earl.expect(started.length).toBeLessThanOrEqual(1);
  for (const answer of answers) {
    if (answer.headers['x-bramleyrun-not-run'] !== 'true') continue;
    const requestId = answer.headers['x-bramleyrun-request-id'];
    earl.expect(started.filter(run => run.requestId === requestId)).toEqual([]);
  }
  const texts = answers
    .filter(answer => answer.httpStatus === 200)
    .map(answer => answer.text);
  earl.expect(new Set(texts).size).toBeLessThanOrEqual(1);
  if (texts.length > 0) earl.expect(started.length).toEqual(1);
}

/** Brings a request to a step, injects faults, resends it through another VM, clears the faults and checks. */
async function runFaultCase(
  idempotencyKey: string,
  step: StepName,
  faults: readonly FaultName[],
): Promise<void> {
  await stallAtStep(step);
  const firstAnswers = await sendUntilStepReached(step, idempotencyKey);
  for (const fault of faults) await injectFault(fault);
  const secondAnswer = await sendRequest(SECOND_VM_ID, idempotencyKey);
  await clearFaults();
  const answers = [
    ...(await Promise.all(firstAnswers)),
    secondAnswer,
    await sendRequest(SECOND_VM_ID, idempotencyKey),
    await sendRequest(FIRST_VM_ID, idempotencyKey),
  ];
  await checkAtMostOnce(idempotencyKey, answers);
}

void test.describe(
  'a request on an at-most-once route',
  {timeout: 600_000},
  () => {
    test.before(async () => {
      await deployment.start();
    });

    test.after(async () => {
      await deployment.stop();
    });

    for (const step of STEPS)
      for (const fault of FAULTS)
        void test.it(`${fault} at step ${step}`, () =>
          runFaultCase(`${step}-${fault}`, step, [fault]),
        );

    for (const {step, first, second} of FAULT_PAIRS)
      void test.it(`${first} and ${second} at step ${step}`, () =>
        runFaultCase(`${step}-${first}-${second}`, step, [first, second]),
      );

    void test.it(
      'runs exactly once when three VMs receive its key at the same time',
      async () => {
        for (let round = 0; round < 20; round += 1) {
          const idempotencyKey = `race-${round}`;
          const answers = await Promise.all(
            ['vm-0', 'vm-1', 'vm-2', 'vm-0'].map(vmId =>
              sendRequest(vmId, idempotencyKey),
            ),
          );
          await checkAtMostOnce(idempotencyKey, answers);
          const rejections = answers.map(({httpStatus, text}) =>
            httpStatus === 200 ? '' : `${httpStatus} ${text}`,
          );
          const hasSuccess = answers.some(answer => answer.httpStatus === 200);
          earl.expect(hasSuccess ? [] : rejections).toEqual([]);
        }
      },
    );

    void test.it(
      'is refused when its idempotency key was used for another request',
      async () => {
        await sendRequest(FIRST_VM_ID, 'reused');
        const other = await deployment.request(SECOND_VM_ID, '/doors/8', {
          key: KEY,
          method: 'POST',
          body: 'open',
          idempotencyKey: 'reused',
        });
        earl
          .expect(other.headers['x-bramleyrun-error'])
          .toEqual('idempotencyKeyReused');
      },
    );

    void test.it('is refused without an idempotency key', async () => {
      const answer = await deployment.request(FIRST_VM_ID, '/doors/7', {
        key: KEY,
        method: 'POST',
      });
      earl
        .expect(answer.headers['x-bramleyrun-error'])
        .toEqual('idempotencyKeyMissing');
      earl.expect(answer.headers['x-bramleyrun-not-run']).toEqual('true');
    });
  },
);
