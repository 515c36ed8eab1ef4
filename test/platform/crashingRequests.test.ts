import * as test from 'node:test';
import * as earl from 'earl';
import * as trials from './CrashTrial.js';

/** The platform's period after which the fleet must have recognised a request that crashes upstreams. */
const STABILITY_WINDOW_MS = 3000;

/** How many upstreams may end because of one request before it counts as recognised, and how many after that. */
const MAX_CRASHES_BEFORE = 3;
const MAX_LATE_CRASHES = 3;

/** Statuses that promise that a request has not run. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];

const DURATION_MS = 23_000;

function getLateCrashCount({crashedAtMs}: trials.CrashTrialResult): number {
  const knownAtMs = crashedAtMs[MAX_CRASHES_BEFORE - 1] + STABILITY_WINDOW_MS;
  return crashedAtMs.filter(atMs => atMs > knownAtMs).length;
}

/** Gets the log lines in which sound requests were refused as ones that crash upstreams. */
function getQuarantinedSoundRequests({
  log,
}: trials.CrashTrialResult): readonly string[] {
  return log
    .split('\n')
    .filter(line => / request=s\d+ /.test(line) && /quarantine/i.test(line));
}

/** Counts the sound requests in 100 that were not answered by an upstream. */
function getFailedPercent({soundStatuses}: trials.CrashTrialResult): number {
  const failedCount = soundStatuses.filter(status => status !== 200).length;
  return (100 * failedCount) / soundStatuses.length;
}

function describeResult(result: trials.CrashTrialResult): string {
  return `${result.crashedAtMs.length} crashes, ${getLateCrashCount(result)} late; ${result.soundStatuses.length} sound requests, ${getFailedPercent(result).toFixed(1)} in 100 failed`;
}

const CASES: readonly (readonly [string, trials.CrashTrialOptions])[] = [
  [
    'a safe one',
    {
      vmCount: 3,
      cause: {kind: 'request', method: 'GET', count: 50, objects: 'one'},
      durationMs: DURATION_MS,
      areVmsKilled: false,
      seed: 3501,
    },
  ],
  [
    'an unsafe one with a body for many objects, while VMs are killed',
    {
      vmCount: 3,
      cause: {kind: 'request', method: 'POST', count: 50, objects: 'many'},
      durationMs: DURATION_MS,
      areVmsKilled: true,
      seed: 3502,
    },
  ],
  [
    'a safe one for many objects that waits in queues first',
    {
      vmCount: 3,
      cause: {kind: 'request', method: 'GET', count: 100, objects: 'many'},
      queueMs: 1000,
      durationMs: DURATION_MS,
      areVmsKilled: false,
      seed: 3504,
    },
  ],
];

void test.describe('a request that crashes upstreams', () => {
  for (const [name, options] of CASES)
    // Guards against a request that is sent on without bound and ends one upstream after the other.
    void test.it(`is stopped by the fleet: ${name}`, async context => {
      const result = await trials.CrashTrial.run(options);
      context.diagnostic(describeResult(result));
      earl
        .expect(getLateCrashCount(result))
        .toBeLessThanOrEqual(MAX_LATE_CRASHES);
      earl
        .expect(
          result.statusesOfRun.filter(status =>
            NOT_RUN_STATUSES.includes(status),
          ),
        )
        .toEqual([]);
      earl.expect(getQuarantinedSoundRequests(result)).toEqual([]);
      earl.expect(getFailedPercent(result)).toBeLessThan(1);
    });

  // Guards against refusing sound requests that happened to be running at upstreams that crashed.
  void test.it(
    'is not any of those under which upstreams end',
    async context => {
      const result = await trials.CrashTrial.run({
        vmCount: 3,
        cause: {kind: 'none', count: 44},
        durationMs: DURATION_MS,
        areVmsKilled: false,
        seed: 3503,
      });
      context.diagnostic(describeResult(result));
      // Guards against refusing requests although upstreams are idle beyond the few that are preferred for their objects.
      earl.expect(getFailedPercent(result)).toBeLessThan(1);
      earl.expect(result.crashedAtMs.length).toBeGreaterThan(40);
      earl.expect(getQuarantinedSoundRequests(result)).toEqual([]);
    },
  );
});
