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

function getPercent(part: number, whole: number): string {
  return ((part * PERCENT) / Math.max(1, whole)).toFixed(1).padStart(6);
}

/** Plays every load pattern with every policy, prints the parts and plots them. */
function run(): void {
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
  for (const scenario of scenarios.SCENARIOS) {
    process.stdout.write(`${scenario.name}\n`);
    for (const policy of POLICIES) {
      const seconds = new emulations.Emulation(scenario, policy, seed).run();
      const sum = emulations.sumSeconds(seconds);
      const parts = [
        sum.inTimeCount,
        sum.lateCount,
        sum.refusedCount,
        sum.failedCount,
      ].map(count => getPercent(count, sum.askedCount));
      process.stdout.write(`  ${policy.padEnd(12)}${parts.join(' ')}\n`);
      series.push({
        title: scenario.name,
        label: policy,
        values: seconds.map(
          second => second.inTimeCount / Math.max(1, second.askedCount),
        ),
      });
    }
  }
  if (values.svg !== undefined)
    fs.writeFileSync(values.svg, plots.getSvg(series));
}

run();
