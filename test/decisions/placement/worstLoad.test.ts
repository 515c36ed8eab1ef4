import * as test from 'node:test';
import * as earl from 'earl';
import * as emulations from '../../../standins/emulator/Emulation.js';
import * as scenarios from '../../../standins/emulator/Scenario.js';

const SEEDS: readonly number[] = [1, 2, 3];

/**
 * The required gain over random placement in the fraction of requests in time. It is high because that fraction
 * depends almost only on whether objects are warm.
 */
const MIN_GAIN_FRACTION = 0.5;

/**
 * The required fraction of requests in time after every object has become warm, which is not reached while an
 * upstream stays overloaded.
 */
const MIN_IN_TIME_FRACTION = 0.9;

/** The second from which every object has been warm. */
const STEADY_STATE_START_S = 24;

function getInTimeFraction(
  seconds: readonly emulations.SecondCounts[],
): number {
  const total = emulations.sumSeconds(seconds);
  return total.inTimeCount / total.requestCount;
}

/**
 * Gets the fraction of the requests bound to one region that the region can run if it runs no other requests and none
 * of their objects is warm.
 */
function getColdCapacityFraction(scenario: scenarios.Scenario): number {
  const {regions, bound, traits, coldWorkMs} = scenario;
  const rate = regions.reduce(
    (total, {ratePerSecond}) => total + ratePerSecond,
    0,
  );
  const count =
    regions.find(({region}) => region === bound?.region)?.upstreamCount ?? 0;
  const runsPerSecond = (count * traits.slotCount * 1000) / coldWorkMs;
  return runsPerSecond / (rate * (bound?.fraction ?? 1));
}

void test.describe('placement under the highest load', () => {
  for (const scenario of scenarios.SCENARIOS)
    void test.it(`serves requests in time: ${scenario.name}`, () => {
      for (const seed of SEEDS) {
        const runEmulation = (policy: emulations.Policy) =>
          new emulations.Emulation(scenario, policy, seed).run();
        const placed = runEmulation('placed');
        const gain =
          getInTimeFraction(placed) - getInTimeFraction(runEmulation('random'));
        earl.expect(gain).toBeGreaterThan(MIN_GAIN_FRACTION);
        const settled = placed.slice(STEADY_STATE_START_S);
        earl
          .expect(getInTimeFraction(settled))
          .toBeGreaterThan(MIN_IN_TIME_FRACTION);
      }
    });

  void test.it(
    'reserves a small region for the requests that are bound to it',
    () => {
      const scenario = scenarios.BOUND_SCENARIO;
      for (const seed of SEEDS) {
        const emulation = new emulations.Emulation(scenario, 'placed', seed);
        emulation.run();
        const bound = emulations.sumSeconds(
          emulation.getBoundSeconds().slice(STEADY_STATE_START_S),
        );
        const servedCount = bound.inTimeCount + bound.lateCount;
        earl
          .expect(servedCount / bound.requestCount)
          .toBeGreaterThan(getColdCapacityFraction(scenario));
      }
    },
  );

  void test.it(
    'serves more requests in time than the first choice alone',
    () => {
      for (const scenario of scenarios.SCENARIOS) {
        let placed = 0;
        let firstOnly = 0;
        for (const seed of SEEDS) {
          const runEmulation = (policy: emulations.Policy) =>
            getInTimeFraction(
              new emulations.Emulation(scenario, policy, seed).run(),
            );
          placed += runEmulation('placed');
          firstOnly += runEmulation('firstOnly');
        }
        earl.expect(placed).toBeGreaterThan(firstOnly);
      }
    },
  );
});
