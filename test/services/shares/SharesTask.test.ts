import * as test from 'node:test';
import * as earl from 'earl';
import * as kernel from '../../../src/kernel/index.js';
import type * as entry from '../../../src/model/entry/index.js';
import * as services from '../../../src/services/index.js';
import * as stubs from '../../support/services/StubTask.js';

const NOW_MS = 1_000_000;
const ORGANISATION = {
  organisationId: 'rustavi',
  ratePerSecond: 5,
  burstRequests: 5,
} as entry.EntryOrganisation;
const BOUNDS = {limitWindowMs: 5000, limitOverage: 0.1, limitSlack: 20};

void test.describe('SharesTask', {timeout: 10_000}, () => {
  void test.it('refuses before its first tick with a time ahead', async () => {
    const shares = new services.SharesTask(BOUNDS, 1);
    const clock = {monotonicMs: () => NOW_MS, wallMs: () => NOW_MS};
    const timers = {every: () => () => {}, after: () => () => {}};
    const daemon = new kernel.Kernel(clock, timers)
      .add(services.LOG, new stubs.StubTask<services.LogMessage>())
      .add(services.METRICS, new stubs.StubTask<services.MetricsMessage>())
      .add(services.KNOWLEDGE, new stubs.StubTask<services.KnowledgeMessage>())
      .add(services.MEMBERS, new stubs.StubTask<services.MembersMessage>())
      .add(services.SHARES, shares);
    await daemon.start();
    const configuration = {
      organisations: [ORGANISATION],
    } as unknown as entry.EntryConfiguration;
    shares.getAddress().post({
      kind: 'operatorRowsChanged',
      rows: {configuration} as entry.OperatorRows,
      freshUntilMs: Infinity,
    });
    const result = await shares
      .getAddress()
      .ask<services.ShareResult>(reply => ({
        kind: 'admit',
        organisationId: 'rustavi',
        abandoned: new AbortController().signal,
        reply,
      }));
    const retryAtMs = result.kind === 'refused' ? result.retryAtMs : 0;
    earl.expect(retryAtMs).toBeGreaterThanOrEqual(NOW_MS);
  });
});
