import * as test from 'node:test';
import * as earl from 'earl';
import * as emulations from '../../../standins/emulator/Emulation.js';
import * as scenarios from '../../../standins/emulator/Scenario.js';

const SEEDS: readonly number[] = [1, 2, 3];

/** The brief's aim beside the baselines: warm objects decide nearly everything. */
const LEAST_GAIN = 0.5;

/** The least part of requests in time once every object has been warm: no upstream may stay jammed. */
const LEAST_IN_TIME = 0.9;
const SETTLED_FROM_S = 24;

function getInTime(seconds: readonly emulations.SecondCount[]): number {
  const sum = emulations.sumSeconds(seconds);
  return sum.inTimeCount / sum.askedCount;
}

/** Gets the part of the bound requests that their region can run if it runs nothing else, and each run is cold. */
function getColdPart(scenario: scenarios.Scenario): number {
  const {regions, bound, traits, coldWorkMs} = scenario;
  const rate = regions.reduce((sum, {ratePerSecond}) => sum + ratePerSecond, 0);
  const count =
    regions.find(({region}) => region === bound?.region)?.upstreamCount ?? 0;
  const runsPerSecond = (count * traits.slotCount * 1000) / coldWorkMs;
  return runsPerSecond / (rate * (bound?.part ?? 1));
}

void test.describe('placement at the worst load', () => {
  for (const scenario of scenarios.SCENARIOS)
    void test.it(`serves in time: ${scenario.name}`, () => {
      for (const seed of SEEDS) {
        const play = (policy: emulations.Policy) =>
          new emulations.Emulation(scenario, policy, seed).run();
        const placed = play('placed');
        const gain = getInTime(placed) - getInTime(play('random'));
        earl.expect(gain).toBeGreaterThan(LEAST_GAIN);
        const settled = placed.slice(SETTLED_FROM_S);
        earl.expect(getInTime(settled)).toBeGreaterThan(LEAST_IN_TIME);
      }
    });

  void test.it('gives a small region to those who are bound to it', () => {
    const scenario = scenarios.BOUND_SCENARIO;
    for (const seed of SEEDS) {
      const emulation = new emulations.Emulation(scenario, 'placed', seed);
      emulation.run();
      const bound = emulations.sumSeconds(
        emulation.getBoundSeconds().slice(SETTLED_FROM_S),
      );
      const servedCount = bound.inTimeCount + bound.lateCount;
      earl
        .expect(servedCount / bound.askedCount)
        .toBeGreaterThan(getColdPart(scenario));
    }
  });

  void test.it('serves more in time than the first choice alone', () => {
    for (const scenario of scenarios.SCENARIOS) {
      let placed = 0;
      let firstOnly = 0;
      for (const seed of SEEDS) {
        const play = (policy: emulations.Policy) =>
          getInTime(new emulations.Emulation(scenario, policy, seed).run());
        placed += play('placed');
        firstOnly += play('firstOnly');
      }
      earl.expect(placed).toBeGreaterThan(firstOnly);
    }
  });
});
