// What a case writes to record.txt.
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import * as fs from 'node:fs';

export class Record {
  #file;
  #startedAtMs = performance.now();

  constructor(file) {
    this.#file = file;
    fs.writeFileSync(file, '');
  }

  add(text) {
    const atS = ((performance.now() - this.#startedAtMs) / 1000)
      .toFixed(3)
      .padStart(8);
    fs.appendFileSync(this.#file, `${atS} s  ${text}\n`);
  }
}

/** Runs a case, and exits with what it returns, or with 2 when it could not run; within two minutes at most. */
export async function runCase(record, play, end) {
  const timer = setTimeout(() => finish(2, 'the case took too long'), 110_000);
  async function finish(code, text) {
    clearTimeout(timer);
    record.add(text);
    await end().catch(error => record.add(`ending: ${error.message}`));
    process.exit(code);
  }
  try {
    const isBroken = await play();
    await finish(
      isBroken ? 1 : 0,
      isBroken ? 'result: the rule was broken' : 'result: the rule held',
    );
  } catch (error) {
    await finish(2, `result: the case could not run: ${error.stack}`);
  }
}
