import * as test from 'node:test';
import * as earl from 'earl';
import * as bramleyrun from '../../src/index.js';

void test.describe('the library without a daemon', () => {
  void test.it(
    'shares one rate limit between processes that lend slots to each other',
    () => {
      const {decisions} = bramleyrun;
      const limits = {ratePerSecond: 10, burstTokens: 4, slotCount: 2};
      const slot = {usableFromMs: 0, isUnused: true};
      const createBucket = (slotIndex: number) =>
        decisions.applyBucketEvent(
          decisions.getEmptyBucket(0),
          limits,
          {kind: 'control', slots: [{...slot, slotIndex}]},
          0,
        ).state;
      const loan = decisions.applyBucketEvent(
        createBucket(1),
        limits,
        {
          kind: 'lend',
          borrowerProcessId: 'a',
          loanSequence: 1,
          deadlineMs: 2200,
        },
        0,
      ).outcome;
      if (loan.kind !== 'sharesMoved')
        throw new Error('the lender returned no slots');
      let borrower = decisions.applyBucketEvent(
        createBucket(0),
        limits,
        {
          kind: 'borrow',
          lenderProcessId: 'b',
          slotIndexes: loan.slotIndexes,
          levelTokens: loan.levelTokens,
          deadlineMs: 2000,
        },
        1,
      ).state;
      const outcomeKinds = Array.from({length: 5}, () => {
        const decision = decisions.applyBucketEvent(
          borrower,
          limits,
          {kind: 'admit', tokens: 1},
          1,
        );
        borrower = decision.state;
        return decision.outcome.kind;
      });
      earl
        .expect(outcomeKinds)
        .toEqual(['granted', 'granted', 'granted', 'granted', 'refused']);
    },
  );

  void test.it(
    'returns the time until which the state of a process is fresh',
    () => {
      const {decisions} = bramleyrun;
      let state = decisions.INITIAL_FRESHNESS;
      for (const [slotIndex, sentAtMs] of [
        [1, 100],
        [2, 200],
        [3, 300],
      ])
        state = decisions.addHeartbeatAnswer(state, {slotIndex, sentAtMs});
      const quorum = {majority: 3, isSelfCounted: true};
      earl
        .expect(decisions.getFreshUntilMs(state, quorum))
        .toEqual(200 + decisions.FRESHNESS_TERM_MS);
    },
  );

  void test.it(
    'replaces a claim that its holder abandoned when the action is repeated',
    () => {
      const {decisions} = bramleyrun;
      const decision = decisions.decideRepeatFromHolder({kind: 'abandoned'});
      earl.expect(decision.kind).toEqual('replace');
    },
  );

  void test.it(
    'steers callers according to a planned shift of a region',
    () => {
      const {decisions} = bramleyrun;
      const shift = {
        fromRegion: 'aqaba',
        toRegion: 'amman',
        startAtMs: 0,
        endAtMs: 1000,
        capFraction: 0.5,
      };
      const getRegion = (position: number, nowMs: number) =>
        decisions.getShiftedRegion([shift], 'aqaba', position, nowMs);
      earl.expect(getRegion(0.3, 500)).toEqual('aqaba');
      earl.expect(getRegion(0.3, 900)).toEqual('amman');
      earl.expect(getRegion(0.6, 5000)).toEqual('aqaba');
    },
  );

  void test.it('finds services by name and sends them messages', async () => {
    const {kernel} = bramleyrun;
    interface Greeting {
      readonly name: string;
      readonly reply: bramleyrun.kernel.Reply<string>;
    }
    const GREETER = kernel.createServiceName<Greeting>('greeter');
    class GreeterTask extends kernel.Task<Greeting> {
      protected override receive(message: Greeting): void {
        message.reply(`hello ${message.name}`);
      }
    }
    const host = new kernel.Kernel().add(GREETER, new GreeterTask());
    await host.start();
    const text = await host
      .getOrThrow(GREETER)
      .ask<string>(reply => ({name: 'Nino', reply}));
    await host.stop();
    earl.expect(text).toEqual('hello Nino');
  });
});
