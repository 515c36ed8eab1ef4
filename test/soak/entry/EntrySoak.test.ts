import * as test from 'node:test';
import * as earl from 'earl';
import type * as upstreams from '../../../standins/store/PublishedUpstream.js';
import * as soaks from './EntrySoak.js';
import * as violations from './findViolations.js';
import * as sizes from './sizes.js';
import type * as records from './SoakRecord.js';

/** Seeds that once broke a promise, each with its cause. */
const REGRESSIONS: readonly {readonly seed: number; readonly cause: string}[] =
  [{seed: 3, cause: 'the fault proxy ended connections that were reset'}];

/** A short soak, as CI plays it. */
const SHORT = {
  vmCount: 3,
  upstreamCount: 4,
  deedCount: 8,
  deedsEndAtMs: 4000,
} as const;

/** How long the upstreams of these cases work, in milliseconds. */
const WORK_MS = 900;

const REQUEST: records.SoakRequest = {
  requestId: 'q',
  isUnsafe: true,
  key: 'k',
  target: '/act/do',
  vm: 0,
  sentAtMs: 100_000,
  endedAtMs: 100_100,
  leftAtMs: undefined,
  httpStatus: 200,
  text: 'answer to q',
};

function getUpstream(
  upstreamId: string,
  runAtMs: readonly number[],
): upstreams.PublishedUpstream {
  const runs = runAtMs.map(atMs => ({
    requestId: 'q',
    headers: {'x-tenant': 'o'},
    method: 'POST',
    target: '/act/do',
    body: 'the body',
    atMs,
  }));
  const getWorkEndMs = () => 100_000 + WORK_MS;
  return {
    upstreamId,
    runs,
    getWorkEndMs,
  } as unknown as upstreams.PublishedUpstream;
}

/** Gets the rules that a request broke. */
function find(
  change: Partial<records.SoakRequest>,
  record: Partial<records.SoakRecord>,
): readonly string[] {
  const found = violations.findViolations({
    requests: [{...REQUEST, ...change}],
    upstreams: [getUpstream('a', [100_050])],
    disturbances: [],
    withdrawals: [],
    organisationsByKey: new Map([['k', 'o']]),
    ...record,
  });
  return found.map(violation => violation.split(' ')[0]);
}

void test.describe('findViolations', () => {
  void test.it('finds nothing in a request that was served', () => {
    earl.expect(find({}, {})).toEqual([]);
  });

  void test.it('finds runs that came twice, or after a promise', () => {
    const twice = [getUpstream('a', [100_050]), getUpstream('b', [100_060])];
    earl.expect(find({}, {upstreams: twice})).toEqual(['TWICE']);
    earl.expect(find({httpStatus: 503, text: ''}, {})).toEqual(['REFUSED']);
  });

  void test.it('finds answers that are cut or another request’s', () => {
    earl.expect(find({text: 'answe'}, {})).toEqual(['MIXED']);
  });

  void test.it('finds runs for another organisation', () => {
    const organisationsByKey = new Map([['k', 'other']]);
    earl.expect(find({}, {organisationsByKey})).toEqual(['UNASKED']);
  });

  void test.it(
    'finds runs after a withdrawal, unless the VM was disturbed',
    () => {
      const withdrawals: readonly records.Withdrawal[] = [
        {kind: 'upstream', upstreamId: 'a', atMs: 97_000},
        {kind: 'key', key: 'k', atMs: 97_000},
      ];
      earl.expect(find({}, {withdrawals})).toEqual(['DRAIN', 'CONFIG']);
      const disturbances = [
        {vm: 0, isPlanned: false, fromMs: 98_000, toMs: 99_000},
      ];
      earl.expect(find({}, {withdrawals, disturbances})).toEqual([]);
    },
  );

  void test.it('finds work for a caller that has left', () => {
    const left = {httpStatus: undefined, text: ''};
    earl.expect(find({...left, leftAtMs: 100_100}, {})).toEqual(['GONE']);
    earl.expect(find({...left, leftAtMs: 100_500}, {})).toEqual([]);
  });

  void test.it('finds requests that a stop cut', () => {
    const disturbances = [
      {vm: 0, isPlanned: true, fromMs: 99_000, toMs: 103_000},
    ];
    const cut = {httpStatus: undefined, text: ''};
    earl.expect(find(cut, {disturbances})).toEqual(['LOST']);
    earl.expect(find(cut, {})).toEqual([]);
  });
});

void test.describe('EntrySoak', () => {
  for (const {seed, cause} of REGRESSIONS)
    void test.it(
      `keeps every promise with seed ${seed} (${cause})`,
      async () => {
        const report = await new soaks.EntrySoak(
          seed,
          sizes.getSize(seed),
        ).run();
        earl.expect(report.violations).toEqual([]);
        earl.expect(report.servedCount).toBeGreaterThan(0);
      },
    );

  void test.it('keeps every promise in a short run', async () => {
    const report = await new soaks.EntrySoak(1, SHORT).run();
    earl.expect(report.violations).toEqual([]);
  });
});
