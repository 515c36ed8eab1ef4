import * as util from 'node:util';
import * as chaos from '../support/virtual/ChaosSimulation.js';
import * as soaks from './entry/EntrySoak.js';
import * as sizes from './entry/sizes.js';

/** Length of the simulation of one seed, in milliseconds of virtual time. */
const SIMULATION_MS = 120_000;

/** Number of violations that are printed for one seed at most. */
const MAX_PRINTED_VIOLATIONS = 10;

/** The result of one seed: a summary of key=value pairs, and the violations of guarantees. */
interface SeedResult {
  readonly summary: string;
  readonly violations: readonly string[];
}

/** Simulates the daemon's control plane in virtual time, with random faults. */
async function runVirtual(seed: number): Promise<SeedResult> {
  const report = await new chaos.ChaosSimulation(seed).run(SIMULATION_MS);
  const {violations, admittedCount, acceptedCount, faultCount} = report;
  const summary = `faults=${faultCount} admitted=${admittedCount} accepted=${acceptedCount}`;
  return {summary, violations};
}

/** Runs real processes of the entry program, with random faults. */
async function runEntry(seed: number): Promise<SeedResult> {
  const size = sizes.getSize(seed);
  const report = await new soaks.EntrySoak(seed, size).run();
  const {requestCount, servedCount, violations} = report;
  const summary = `vms=${size.vmCount} deeds=${size.actionCount} requests=${requestCount} served=${servedCount}`;
  return {summary, violations};
}

/** Runs one seed after another and prints the result of each; the exit code is 1 if any guarantee was violated. */
async function main(): Promise<void> {
  const {values} = util.parseArgs({
    options: {
      seed: {type: 'string', default: '1'},
      runs: {type: 'string', default: '50'},
      virtual: {type: 'boolean', default: false},
    },
  });
  const firstSeed = Number(values.seed);
  const runSeed = values.virtual ? runVirtual : runEntry;
  for (let seed = firstSeed; seed < firstSeed + Number(values.runs); seed++) {
    const {summary, violations} = await runSeed(seed);
    process.stdout.write(
      `seed=${seed} ${summary} violations=${violations.length}\n`,
    );
    for (const violation of violations.slice(0, MAX_PRINTED_VIOLATIONS))
      process.stdout.write(`seed=${seed} ${violation}\n`);
    if (violations.length > 0) process.exitCode = 1;
  }
}

await main();
