import * as util from 'node:util';
import * as chaos from '../support/virtual/Chaos.js';

const RUN_MS = 120_000;

/** Runs random faults with one seed after another and stops at the first violation. */
async function run(): Promise<void> {
  const {values} = util.parseArgs({
    options: {
      seed: {type: 'string', default: '1'},
      runs: {type: 'string', default: '50'},
    },
  });
  const firstSeed = Number(values.seed);
  for (
    let seed = firstSeed;
    seed < firstSeed + Number(values.runs);
    seed += 1
  ) {
    const report = await new chaos.Chaos(seed).run(RUN_MS);
    const {violations, admittedCount, acceptedCount, faultCount} = report;
    process.stdout.write(
      `seed=${seed} faults=${faultCount} admitted=${admittedCount} accepted=${acceptedCount} violations=${violations.length}\n`,
    );
    if (violations.length === 0) continue;
    for (const violation of violations.slice(0, 10))
      process.stdout.write(`seed=${seed} ${violation}\n`);
    process.exitCode = 1;
    return;
  }
}

await run();
