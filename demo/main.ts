import * as hdr from 'hdr-histogram-js';
import * as deployments from '../standins/deployment/Deployment.js';
import * as examples from './readExample.js';
import * as visitors from './Visitor.js';

const LOAD_MS = 5000;
const MICROSECONDS_PER_MS = 1000;
const VISITORS_PER_ORGANISATION = 3;

/** Counts runs that happened more than once for one action. */
function countDoubled(deployment: deployments.Deployment): number {
  const started = deployment
    .getRuns()
    .filter(run => run.run === 'started' && run.idempotencyKey !== '');
  const actions = new Set(
    started.map(run => `${run.organisationId} ${run.idempotencyKey}`),
  );
  return started.length - actions.size;
}

/** Counts served requests that no upstream ran and refused ones that one did run. */
function countLost(
  deployment: deployments.Deployment,
  outcomes: readonly visitors.Outcome[],
): number {
  const ranIds = new Set(
    deployment
      .getRuns()
      .filter(run => run.run === 'started')
      .map(run => run.requestId),
  );
  return outcomes.filter(outcome => {
    switch (outcome.kind) {
      case 'served':
        return !ranIds.has(outcome.requestId);
      case 'notRun':
        return ranIds.has(outcome.requestId);
      case 'failed':
        return true;
    }
  }).length;
}

function getPercentile(
  outcomes: readonly visitors.Outcome[],
  percentile: number,
): string {
  const histogram = hdr.build({numberOfSignificantValueDigits: 3});
  for (const outcome of outcomes)
    if (outcome.kind === 'served')
      histogram.recordValue(
        Math.round(outcome.elapsedMs * MICROSECONDS_PER_MS),
      );
  const valueMs =
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  return valueMs.toFixed(2);
}

/** Runs Miftah's fleet under a few seconds of mixed load and accounts for every request. */
async function run(): Promise<void> {
  const plan = examples.readExample('miftah', {
    regionDelayMs: 20,
    serviceMs: 6,
  });
  const deployment = new deployments.Deployment(plan);
  process.stdout.write(
    `starting ${plan.vms.length} daemons, ${plan.upstreams.length} upstreams and a platform\n`,
  );
  await deployment.start();
  process.stdout.write(
    `mixed load of ${Object.keys(plan.organisations).length} organisations\n`,
  );
  const endMs = performance.now() + LOAD_MS;
  const crowd = Object.keys(plan.organisations).flatMap((organisationId, row) =>
    Array.from(
      {length: VISITORS_PER_ORGANISATION},
      (_, column) =>
        new visitors.Visitor(
          deployment,
          organisationId,
          row * VISITORS_PER_ORGANISATION + column,
        ),
    ),
  );
  const outcomes = (
    await Promise.all(crowd.map(visitor => visitor.run(endMs)))
  ).flat();
  await deployment.syncRuns();
  const servedCount = outcomes.filter(entry => entry.kind === 'served').length;
  const refusedCount = outcomes.filter(entry => entry.kind === 'notRun').length;
  const lostCount = countLost(deployment, outcomes);
  const doubledCount = countDoubled(deployment);
  await deployment.stop();
  process.stdout.write(
    `demo served=${servedCount} refused=${refusedCount} lost=${lostCount} doubled=${doubledCount} p50Ms=${getPercentile(outcomes, 50)} p99Ms=${getPercentile(outcomes, 99)}\n`,
  );
  const isGood = servedCount > 0 && lostCount === 0 && doubledCount === 0;
  process.exitCode = isGood ? 0 : 1;
}

await run();
