import * as fs from 'node:fs';
import * as util from 'node:util';
import * as emulations from '../../standins/emulator/Emulation.js';
import * as scenarios from '../../standins/emulator/Scenario.js';
import * as plots from './plot.js';

const POLICIES: readonly emulations.Policy[] = [
  'placed',
  'firstOnly',
  'random',
  'roundRobin',
];
const DEFAULT_SEED = 20261204;
const PERCENT = 100;

function formatPercent(partCount: number, totalCount: number): string {
  return ((partCount * PERCENT) / Math.max(1, totalCount))
    .toFixed(1)
    .padStart(6);
}

/** Formats the percentages of requests in time, late, refused and failed, in the order of the printed heading. */
function formatOutcomePercentages(
  seconds: readonly emulations.SecondCounts[],
): string {
  const sum = emulations.sumSeconds(seconds);
  return [sum.inTimeCount, sum.lateCount, sum.refusedCount, sum.failedCount]
    .map(count => formatPercent(count, sum.requestCount))
    .join(' ');
}

/** Simulates every load pattern with every policy, prints the percentages, and plots them if `--svg` is given. */
function runExperiments(): void {
  const {values} = util.parseArgs({
    options: {
      seed: {type: 'string', default: String(DEFAULT_SEED)},
      svg: {type: 'string'},
    },
  });
  const seed = Number(values.seed);
  const series: plots.Series[] = [];
  process.stdout.write(
    'pattern / policy: in time, late, refused, failed in percent\n',
  );
  for (const scenario of [...scenarios.SCENARIOS, scenarios.BOUND_SCENARIO]) {
    process.stdout.write(`${scenario.name}\n`);
    for (const policy of POLICIES) {
      const emulation = new emulations.Emulation(scenario, policy, seed);
      const seconds = emulation.run();
      process.stdout.write(
        `  ${policy.padEnd(12)}${formatOutcomePercentages(seconds)}\n`,
      );
      const bound = emulation.getBoundSeconds();
      if (bound.length > 0)
        process.stdout.write(
          `    bound     ${formatOutcomePercentages(bound)}\n`,
        );
      series.push({
        title: scenario.name,
        label: policy,
        values: seconds.map(
          second => second.inTimeCount / Math.max(1, second.requestCount),
        ),
      });
    }
  }
  if (values.svg !== undefined)
    fs.writeFileSync(values.svg, plots.renderSvg(series));
}

runExperiments();
