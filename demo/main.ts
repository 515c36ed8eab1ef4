import * as hdr from 'hdr-histogram-js';
import * as deployments from '../standins/deployment/Deployment.js';
import * as examples from './readExample.js';
import * as callers from './Caller.js';

const LOAD_MS = 5000;
const MICROSECONDS_PER_MS = 1000;
const CALLERS_PER_ORGANISATION = 3;

/** Counts the additional runs of requests that ran more than once with the same idempotency key. */
function countDuplicateRuns(deployment: deployments.Deployment): number {
  const startedRuns = deployment
    .getRunEvents()
    .filter(run => run.run === 'started' && run.idempotencyKey !== '');
  const uniqueRequests = new Set(
    startedRuns.map(run => `${run.organisationId} ${run.idempotencyKey}`),
  );
  return startedRuns.length - uniqueRequests.size;
}

/** Counts failed requests, served requests that no upstream ran, and refused requests that an upstream did run. */
function countUnaccounted(
  deployment: deployments.Deployment,
  outcomes: readonly callers.Outcome[],
): number {
  const startedIds = new Set(
    deployment
      .getRunEvents()
      .filter(run => run.run === 'started')
      .map(run => run.requestId),
  );
  return outcomes.filter(outcome => {
    switch (outcome.kind) {
      case 'served':
        return !startedIds.has(outcome.requestId);
      case 'notRun':
        return startedIds.has(outcome.requestId);
      case 'failed':
        return true;
    }
  }).length;
}

function formatPercentileMs(
  outcomes: readonly callers.Outcome[],
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

/** Runs the fleet of the example `miftah` under mixed load for LOAD_MS and checks the outcome of every request. */
async function runDemo(): Promise<void> {
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
  const allCallers = Object.keys(plan.organisations).flatMap(
    (organisationId, row) =>
      Array.from(
        {length: CALLERS_PER_ORGANISATION},
        (_, column) =>
          new callers.Caller(
            deployment,
            organisationId,
            row * CALLERS_PER_ORGANISATION + column,
          ),
      ),
  );
  const outcomes = (
    await Promise.all(allCallers.map(caller => caller.run(endMs)))
  ).flat();
  await deployment.waitForRunEvents();
  const servedCount = outcomes.filter(
    outcome => outcome.kind === 'served',
  ).length;
  const refusedCount = outcomes.filter(
    outcome => outcome.kind === 'notRun',
  ).length;
  const unaccountedCount = countUnaccounted(deployment, outcomes);
  const duplicateRunCount = countDuplicateRuns(deployment);
  await deployment.stop();
  process.stdout.write(
    `demo served=${servedCount} refused=${refusedCount} lost=${unaccountedCount} doubled=${duplicateRunCount} p50Ms=${formatPercentileMs(outcomes, 50)} p99Ms=${formatPercentileMs(outcomes, 99)}\n`,
  );
  const isSuccessful =
    servedCount > 0 && unaccountedCount === 0 && duplicateRunCount === 0;
  process.exitCode = isSuccessful ? 0 : 1;
}

await runDemo();
