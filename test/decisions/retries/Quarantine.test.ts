import * as test from 'node:test';
import * as earl from 'earl';
import * as fastCheck from 'fast-check';
import * as decisions from '../../../src/decisions/index.js';

const DIGEST = 'd';

/** What one VM knows, as it sends attempts and is told about others'. */
class Vm {
  quarantine = decisions.EMPTY_QUARANTINE;

  /** Sends the request; returns its mark, or undefined when it is quarantined. */
  send(nowMs: number, digest = DIGEST): decisions.AttemptMark | undefined {
    const admission = decisions.decideAttempt(this.quarantine, digest, nowMs);
    switch (admission.kind) {
      case 'admitted':
        return admission.mark;
      case 'trial': {
        const suspect = this.getSuspectOrThrow(digest);
        this.record(decisions.applyTrial(suspect, nowMs), nowMs);
        return admission.mark;
      }
      case 'quarantined':
        return undefined;
    }
  }

  crash(
    mark: decisions.AttemptMark,
    nowMs: number,
    digest = DIGEST,
    upstreamId = 'u',
  ): void {
    const known = this.quarantine.get(digest);
    this.record(
      decisions.applyCrash(known, digest, mark, upstreamId, nowMs),
      nowMs,
    );
  }

  answer(nowMs: number): void {
    const known = this.quarantine.get(DIGEST);
    if (known !== undefined) this.record(decisions.applyAnswer(known), nowMs);
  }

  tell(other: Vm, nowMs: number): void {
    const merged = [...this.quarantine.values()].map(suspect =>
      decisions.mergeSuspects(
        other.quarantine.get(suspect.requestDigestHex),
        suspect,
      ),
    );
    other.quarantine = decisions.recordSuspects(
      other.quarantine,
      merged,
      nowMs,
    );
  }

  private record(suspect: decisions.SuspectRequest, nowMs: number): void {
    this.quarantine = decisions.recordSuspects(
      this.quarantine,
      [suspect],
      nowMs,
    );
  }

  private getSuspectOrThrow(digest: string): decisions.SuspectRequest {
    const suspect = this.quarantine.get(digest);
    if (suspect === undefined) throw new Error('no suspect');
    return suspect;
  }
}

/** Sends the request and lets its upstream crash; returns whether it was sent. */
function sendAndCrash(vm: Vm, nowMs: number): boolean {
  const mark = vm.send(nowMs);
  if (mark === undefined) return false;
  vm.crash(mark, nowMs);
  return true;
}

void test.describe('the quarantine', () => {
  void test.it('stops a request after two crashes in a row, on any VM', () => {
    const [a, b] = [new Vm(), new Vm()];
    earl.expect(sendAndCrash(a, 0)).toEqual(true);
    a.tell(b, 1);
    earl.expect(sendAndCrash(b, 2)).toEqual(true);
    b.tell(a, 3);
    earl.expect([a.send(4), b.send(4)]).toEqual([undefined, undefined]);
  });

  // Guards against refusing a popular request because many upstreams crashed at the same moment.
  void test.it('counts attempts that were sent side by side as one', () => {
    const vm = new Vm();
    const marks = Array.from({length: 3}, () => vm.send(0));
    for (const [index, mark] of marks.entries())
      vm.crash(mark ?? decisions.UNSUSPECTED, 10, DIGEST, `u-${index}`);
    earl.expect(vm.send(11)).toEqual({generation: 0, crashCount: 1});
  });

  // Guards against slow upstreams that crash, one after the other, long after the request was sent to all of them.
  void test.it('stops a request after four crashes side by side', () => {
    const [a, b] = [new Vm(), new Vm()];
    for (const [index, vm] of [a, b, a, b].entries())
      vm.crash(decisions.UNSUSPECTED, 5000, DIGEST, `u-${index}`);
    earl.expect(a.send(5001)?.crashCount).toEqual(1);
    a.tell(b, 5002);
    earl.expect(b.send(5003)).toEqual(undefined);
    const trial = b.send(8000) ?? decisions.UNSUSPECTED;
    b.crash(trial, 8100, DIGEST, 'u-4');
    earl.expect(b.send(38_000)).toEqual(undefined);
    earl.expect(b.send(38_100)?.crashCount).toEqual(2);
  });

  // Guards against trials that pile up at upstreams which take long to crash.
  void test.it('sends no second trial before the first one is settled', () => {
    const vm = new Vm();
    sendAndCrash(vm, 0);
    sendAndCrash(vm, 0);
    earl.expect(vm.send(3000)?.crashCount).toEqual(2);
    earl.expect(vm.send(12_999)).toEqual(undefined);
    earl.expect(vm.send(13_000)?.crashCount).toEqual(2);
  });

  void test.it('clears a request that was answered, on all VMs', () => {
    const [a, b] = [new Vm(), new Vm()];
    sendAndCrash(a, 0);
    const late = a.send(1) ?? decisions.UNSUSPECTED;
    a.tell(b, 2);
    b.answer(3);
    b.tell(a, 4);
    // Sent before the answer was known: says nothing about the request any more.
    a.crash(late, 5);
    earl.expect(a.send(6)).toEqual({generation: 1, crashCount: 0});
    earl.expect(sendAndCrash(a, 7)).toEqual(true);
    earl.expect(a.send(8)).toEqual({generation: 1, crashCount: 1});
  });

  void test.it('sends trials ever more rarely, one in the whole fleet', () => {
    const [a, b] = [new Vm(), new Vm()];
    sendAndCrash(a, 0);
    sendAndCrash(a, 0);
    a.tell(b, 0);
    earl.expect(b.send(2999)).toEqual(undefined);
    const trial = b.send(3000);
    b.tell(a, 3001);
    earl.expect([a.send(3002), b.send(3002)]).toEqual([undefined, undefined]);
    b.crash(trial ?? decisions.UNSUSPECTED, 3500);
    b.tell(a, 3501);
    earl.expect(a.send(33_000)).toEqual(undefined);
    earl.expect(a.send(33_501)?.crashCount).toEqual(3);
  });

  void test.it('forgets a request ten minutes after its last crash', () => {
    const vm = new Vm();
    sendAndCrash(vm, 0);
    sendAndCrash(vm, 1000);
    const expiryMs = 1000 + decisions.SUSPECT_EXPIRY_MS;
    earl.expect(vm.send(expiryMs)).toEqual(decisions.UNSUSPECTED);
  });

  void test.it(
    'is bounded, and keeps the requests with the most crashes',
    () => {
      const vm = new Vm();
      sendAndCrash(vm, 0);
      sendAndCrash(vm, 0);
      for (let index = 0; index < 2 * decisions.MAX_SUSPECTS; index++)
        vm.crash(decisions.UNSUSPECTED, index, `other-${index}`);
      earl.expect(vm.quarantine.size).toEqual(decisions.MAX_SUSPECTS);
      earl.expect(vm.send(1)).toEqual(undefined);
    },
  );

  void test.it('agrees after any order of reports', () => {
    const suspectArbitrary = fastCheck.record(
      {
        requestDigestHex: fastCheck.constant(DIGEST),
        generation: fastCheck.nat({max: 3}),
        crashCount: fastCheck.nat({max: 3}),
        upstreamIds: fastCheck.subarray(['a', 'b', 'c', 'd']),
        nextTrialAtMs: fastCheck.nat({max: 9}),
        expiresAtMs: fastCheck.nat({max: 9}),
      },
      {noNullPrototype: true},
    );
    const merge = (suspects: readonly decisions.SuspectRequest[]) =>
      suspects.reduce<decisions.SuspectRequest | undefined>(
        (own, other) => decisions.mergeSuspects(own, other),
        undefined,
      );
    fastCheck.assert(
      fastCheck.property(
        fastCheck.array(suspectArbitrary, {minLength: 1, maxLength: 6}),
        suspects => {
          const merged = merge(suspects);
          earl.expect(merge([...suspects].reverse())).toEqual(merged);
          earl.expect(merge([...suspects, ...suspects])).toEqual(merged);
          for (const suspect of suspects)
            earl.expect(decisions.isNewer(merged, suspect)).toEqual(false);
        },
      ),
      {numRuns: 300, seed: 35},
    );
  });
});
