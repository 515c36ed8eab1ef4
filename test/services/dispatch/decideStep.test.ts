import * as test from 'node:test';
import * as earl from 'earl';
import * as steps from '../../../src/services/dispatch/decideStep.js';

void test.describe('getAbandonedOutcome', () => {
  void test.it('keeps that an earlier attempt may have run the request', () => {
    const {failure} = steps.decideStep('idempotent', 'i-0', {
      kind: 'broken',
      reason: 'ECONNRESET',
      phase: 'atUpstream',
    }) as Extract<steps.Step, {kind: 'retry'}>;
    earl
      .expect(steps.getAbandonedOutcome('connecting', failure).mayHaveRun)
      .toEqual(true);
  });

  void test.it('tells a request that was sent from one that was not', () => {
    earl
      .expect(steps.getAbandonedOutcome('atUpstream', undefined).mayHaveRun)
      .toEqual(true);
    earl
      .expect(steps.getAbandonedOutcome('connecting', undefined).mayHaveRun)
      .toEqual(false);
  });
});
