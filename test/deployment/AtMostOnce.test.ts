import * as test from 'node:test';
import * as earl from 'earl';
import * as deployments from '../../standins/deployment/Deployment.js';
import * as deploymentPlans from '../../standins/deployment/DeploymentPlan.js';
import * as plans from './plans.js';

/** The steps of an action at which faults are injected. */
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

/** Two faults at once, and the step at which they come. */
interface FaultPair {
  readonly step: StepName;
  readonly first: FaultName;
  readonly second: FaultName;
}

const PAIRS: readonly FaultPair[] = [
  {step: 'claimWritten', first: 'killDaemon', second: 'storeRefuses'},
  {step: 'claimWritten', first: 'freezeDaemon', second: 'cutUpstreams'},
  {step: 'dispatched', first: 'killDaemon', second: 'cutUpstreams'},
  {step: 'dispatched', first: 'freezeDaemon', second: 'storeLosesAnswers'},
  {step: 'running', first: 'killDaemon', second: 'storeRefuses'},
  {step: 'running', first: 'freezeDaemon', second: 'cutUpstreams'},
  {step: 'answered', first: 'killDaemon', second: 'storeLosesAnswers'},
  {step: 'answered', first: 'storeRefuses', second: 'cutUpstreams'},
];

const KEY = deploymentPlans.getKey('rustavi');
const FIRST = 'vm-0';
const SECOND = 'vm-1';

const deployment = new deployments.Deployment(
  plans.getPlan({vmCount: 3, upstreamCount: 3}),
);

/** Holds actions at a step until `release`. */
async function hold(step: StepName): Promise<void> {
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

/** Whether the action under an idempotency key has come to a step. */
async function isAt(step: StepName, idempotencyKey: string): Promise<boolean> {
  const digest = deployments.getDigestHex(idempotencyKey);
  const [row] = await deployment.readRows(`claim/rustavi/${digest}`);
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

/** Sends the action until it comes to a step; a send that was refused before is made again. */
async function reach(
  step: StepName,
  idempotencyKey: string,
): Promise<readonly Promise<deployments.CallerAnswer>[]> {
  const sends: Promise<deployments.CallerAnswer>[] = [];
  for (;;) {
    let isEnded = false;
    const sent = send(FIRST, idempotencyKey);
    void sent.then(answer => (isEnded = answer.httpStatus !== 200));
    sends.push(sent);
    let isReached = false;
    await deployments.waitFor(async () => {
      isReached = await isAt(step, idempotencyKey);
      return isReached || isEnded;
    });
    if (isReached) return sends;
  }
}

async function inject(fault: FaultName): Promise<void> {
  const {process} = deployment.getVmOrThrow(FIRST);
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

/** Ends every fault and every hold. */
async function heal(): Promise<void> {
  deployment.setUpstreamFaults({kind: 'none'});
  await deployment.setPlatformFaults({});
  const {process} = deployment.getVmOrThrow(FIRST);
  process.signal('SIGCONT');
  if (!process.isRunning()) await deployment.restartVm(FIRST);
  await deployment.waitUntilServing(3);
}

function getRuns(idempotencyKey: string): readonly deployments.Run[] {
  return deployment
    .getRuns()
    .filter(run => run.idempotencyKey === idempotencyKey);
}

function send(
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

/** Checks what must hold of every answer, now and after all that follows. */
async function judge(
  idempotencyKey: string,
  answers: readonly deployments.CallerAnswer[],
): Promise<void> {
  await deployment.syncRuns();
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

/** Brings an action to a step, injects faults, sends it again elsewhere, heals and judges. */
async function runCase(
  idempotencyKey: string,
  step: StepName,
  faults: readonly FaultName[],
): Promise<void> {
  await hold(step);
  const first = await reach(step, idempotencyKey);
  for (const fault of faults) await inject(fault);
  const second = await send(SECOND, idempotencyKey);
  await heal();
  const answers = [
    ...(await Promise.all(first)),
    second,
    await send(SECOND, idempotencyKey),
    await send(FIRST, idempotencyKey),
  ];
  await judge(idempotencyKey, answers);
}

void test.describe(
  'an action that runs at most once',
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
          runCase(`${step}-${fault}`, step, [fault]),
        );

    for (const {step, first, second} of PAIRS)
      void test.it(`${first} and ${second} at step ${step}`, () =>
        runCase(`${step}-${first}-${second}`, step, [first, second]),
      );

    void test.it('two VMs given the same key at once run it once', async () => {
      for (let round = 0; round < 20; round += 1) {
        const idempotencyKey = `race-${round}`;
        const answers = await Promise.all(
          ['vm-0', 'vm-1', 'vm-2', 'vm-0'].map(vmId =>
            send(vmId, idempotencyKey),
          ),
        );
        await judge(idempotencyKey, answers);
        const refusals = answers.map(({httpStatus, text}) =>
          httpStatus === 200 ? '' : `${httpStatus} ${text}`,
        );
        const isRun = answers.some(answer => answer.httpStatus === 200);
        earl.expect(isRun ? [] : refusals).toEqual([]);
      }
    });

    void test.it(
      'a key that came with another request is refused',
      async () => {
        await send(FIRST, 'reused');
        const other = await deployment.request(SECOND, '/doors/8', {
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

    void test.it(
      'a route that runs at most once needs an idempotency key',
      async () => {
        const answer = await deployment.request(FIRST, '/doors/7', {
          key: KEY,
          method: 'POST',
        });
        earl
          .expect(answer.headers['x-bramleyrun-error'])
          .toEqual('idempotencyKeyMissing');
        earl.expect(answer.headers['x-bramleyrun-not-run']).toEqual('true');
      },
    );
  },
);
