import * as test from 'node:test';
import * as earl from 'earl';
import * as fastCheck from 'fast-check';
import * as decisions from '../../../src/decisions/index.js';
import * as excess from '../../support/virtual/getRateLimitExcess.js';
import * as models from './BucketModel.js';

const SEED = 20261204;
const RUN_COUNT = 12000;
const LIMITS: decisions.BucketLimits = {
  ratePerSecond: 6,
  burstTokens: 6,
  slotCount: 3,
};

const ROUNDING_REQUESTS = 1e-6;

const at = fastCheck.nat({max: LIMITS.slotCount - 1});
const delayArbitrary = fastCheck.oneof(
  {weight: 6, arbitrary: fastCheck.nat({max: 80})},
  {weight: 4, arbitrary: fastCheck.integer({min: 200, max: 460})},
  {weight: 2, arbitrary: fastCheck.nat({max: 3000})},
  {weight: 1, arbitrary: fastCheck.constant(undefined)},
);

const stepArbitrary: fastCheck.Arbitrary<models.Step> = fastCheck.oneof(
  {
    weight: 5,
    arbitrary: fastCheck.record({
      kind: fastCheck.constant('wait' as const),
      durationMs: fastCheck.nat({max: 600}),
      request: delayArbitrary,
      answer: delayArbitrary,
    }),
  },
  {
    weight: 6,
    arbitrary: fastCheck.record({
      kind: fastCheck.constant('admit' as const),
      at,
      count: fastCheck.integer({min: 1, max: LIMITS.burstTokens}),
    }),
  },
  {
    weight: 1,
    arbitrary: fastCheck.record({
      kind: fastCheck.constant('home' as const),
      at,
      home: at,
    }),
  },
  {
    weight: 5,
    arbitrary: fastCheck.record({
      kind: fastCheck.constant('takeTokens' as const),
      at,
      from: at,
      tokens: fastCheck.integer({min: 1, max: 4}),
      request: delayArbitrary,
      answer: delayArbitrary,
      settle: delayArbitrary,
    }),
  },
  {
    weight: 1,
    arbitrary: fastCheck.record({
      kind: fastCheck.constant('die' as const),
      at,
    }),
  },
);

void test.describe('bucket events', () => {
  void test.it(
    'never admits more than rate and burst allow, with late and lost messages and a process that ends',
    () => {
      fastCheck.assert(
        fastCheck.property(
          fastCheck.array(stepArbitrary, {minLength: 20, maxLength: 160}),
          steps => {
            const model = new models.BucketModel(LIMITS);
            for (const step of steps) model.step(step);
            const over = excess.getRateLimitExcess(model.admittedAtMs, {
              ratePerSecond: LIMITS.ratePerSecond,
              burst: LIMITS.burstTokens,
            });
            return over < ROUNDING_REQUESTS;
          },
        ),
        {seed: SEED, numRuns: RUN_COUNT},
      );
    },
  );

  void test.it(
    'admits a full burst at a home that borrowed every share',
    () => {
      const model = new models.BucketModel(LIMITS);
      model.step({kind: 'wait', durationMs: 20, request: 5, answer: 5});
      model.step({kind: 'admit', at: 0, count: 8});
      earl.expect(model.admittedAtMs.length).toEqual(6);
    },
  );

  void test.it('refuses a request when the bucket is empty', () => {
    const emptyBucket = decisions.getEmptyBucket(0);
    const controlledBucket = decisions.applyBucketEvent(
      emptyBucket,
      LIMITS,
      {
        kind: 'control',
        slots: [{slotIndex: 0, usableFromMs: 0, isUnused: false}],
      },
      0,
    );
    const {outcome} = decisions.applyBucketEvent(
      controlledBucket.state,
      {...LIMITS, slotCount: 1},
      {kind: 'admit', tokens: 1},
      0,
    );
    earl.expect(outcome.kind).toEqual('refused');
  });
});
