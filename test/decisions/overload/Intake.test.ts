import * as test from 'node:test';
import * as earl from 'earl';
import * as decisions from '../../../src/decisions/index.js';
import * as base from '../../../src/services/base/index.js';

/** Processor time in milliseconds that a VM of the first deployments has in a second. */
const PROCESSOR_MS = 540;

/** Processor time in milliseconds of a request on a new connection that is served, and of one that is refused. */
const SERVED_MS = 1.07;
const REFUSED_MS = 0.55;

/** Connections that may wait. */
const MAX_WAITING = 128;

/** The load at which all requests can just be served, in requests a second. */
const CAPACITY_PER_SECOND = PROCESSOR_MS / SERVED_MS;

const DURATION_MS = 20_000;

/** A request is of use when its turn comes within this many milliseconds. */
const USEFUL_MS = 200;

/** The part of what can be served at most that is to stay useful, at any load. */
const USEFUL_PART = 0.5;

/** Plays callers that come evenly at a VM that takes them in order; gives how many a second are served in time. */
function getUsefulPerSecond(loadPerSecond: number): number {
  const random = new base.RandomSource(7);
  const waiting: number[] = [];
  let intake = decisions.startIntake(0);
  let nextArrivalMs = 0;
  let usefulCount = 0;
  for (let nowMs = 0; nowMs < DURATION_MS;) {
    for (; nextArrivalMs <= nowMs; nextArrivalMs += 1000 / loadPerSecond)
      if (waiting.length < MAX_WAITING) waiting.push(nextArrivalMs);
    const arrivedAtMs = waiting.shift();
    if (arrivedAtMs === undefined) {
      nowMs = nextArrivalMs;
      continue;
    }
    const ageMs = nowMs - arrivedAtMs;
    intake = decisions.noteRequestAge(intake, ageMs, nowMs);
    const isTaken = decisions.isTakenOn(intake, random.draw());
    if (isTaken && ageMs <= USEFUL_MS) usefulCount += 1;
    nowMs += ((isTaken ? SERVED_MS : REFUSED_MS) * 1000) / PROCESSOR_MS;
  }
  return (usefulCount * 1000) / DURATION_MS;
}

void test.describe('Intake', () => {
  for (const load of [1, 2, 4, 8])
    void test.it(`keeps work useful at ${load} times what fits`, () => {
      earl
        .expect(getUsefulPerSecond(load * CAPACITY_PER_SECOND))
        .toBeGreaterThan(USEFUL_PART * CAPACITY_PER_SECOND);
    });

  void test.it('refuses nothing for a pause or a burst', () => {
    let intake = decisions.startIntake(0);
    for (let nowMs = 1000; nowMs < 1400; nowMs += 5)
      intake = decisions.noteRequestAge(intake, 1000, nowMs);
    for (let nowMs = 1400; nowMs < 3000; nowMs += 5)
      intake = decisions.noteRequestAge(intake, 1, nowMs);
    earl.expect(intake.takenPart).toEqual(1);
    for (let pauseMs = 4000; pauseMs < 9000; pauseMs += 1000) {
      for (let nowMs = pauseMs; nowMs < pauseMs + 50; nowMs += 5)
        intake = decisions.noteRequestAge(intake, 900, nowMs);
      earl.expect(intake.takenPart).toEqual(1);
    }
  });

  void test.it('takes everything on again after the load', () => {
    let intake = decisions.startIntake(0);
    for (let nowMs = 0; nowMs < 5000; nowMs += 10)
      intake = decisions.noteRequestAge(intake, 400, nowMs);
    earl.expect(intake.takenPart).toBeLessThan(1);
    for (let nowMs = 5000; nowMs < 8000; nowMs += 10)
      intake = decisions.noteRequestAge(intake, 1, nowMs);
    earl.expect(intake.takenPart).toEqual(1);
  });
});
