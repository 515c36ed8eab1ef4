import type * as upstreams from '../../standins/store/FakeUpstream.js';
import type * as answers from './AnswerReader.js';
import * as callers from './RawCaller.js';

/** A request that a caller has sent to a VM. */
export interface SentRequest {
  readonly requestId: string;

  /** The index of the VM. */
  readonly vm: number;

  /** Wall-clock time in milliseconds. */
  readonly sentAtMs: number;

  /** Wall-clock time in milliseconds at which the caller's time limit is over. */
  readonly deadlineMs: number;
}

/** A request that an upstream ran and whose caller did not get that upstream's whole answer. */
export interface LostRequest extends SentRequest {
  /** The answer in its place, or the part of the answer that has arrived; undefined without any. */
  readonly answer: answers.ReceivedAnswer | undefined;

  /** Wall-clock time in milliseconds at which the upstream ended its work; undefined while it works. */
  readonly endedAtMs: number | undefined;

  /** Wall-clock time in milliseconds at which the connection was closed; undefined while it is open. */
  readonly closedAtMs: number | undefined;
}

/** Records the requests of callers, and finds those that are lost although an upstream ran them. */
export class RequestLog {
  private readonly requestsByCaller = new Map<
    callers.RawCaller,
    SentRequest[]
  >();
  private nextRequest = 0;

  /** The number of requests sent. */
  get requestCount(): number {
    return this.nextRequest;
  }

  /** Whether all connections on which requests were sent have been closed. */
  get hasNoOpenConnection(): boolean {
    return [...this.requestsByCaller.keys()].every(caller => caller.isClosed);
  }

  /** Sends a request that may be repeated; returns its identifier. */
  sendSafe(
    caller: callers.RawCaller,
    vm: number,
    path: string,
    remainingMs: number,
  ): string {
    const requestId = this.add(caller, vm, remainingMs);
    caller.send([requestId], path, 'k1', remainingMs);
    return requestId;
  }

  /** Sends a request that must run at most once; returns its identifier. */
  sendUnsafe(caller: callers.RawCaller, vm: number, path: string): string {
    const requestId = this.add(caller, vm, callers.DEFAULT_REMAINING_MS);
    caller.sendHeadWith(requestId, path, 'k1', ['content-length: 4'], 'body');
    return requestId;
  }

  /** Finds the lost requests among those that the upstreams ran, once all connections have ended. */
  findLost(
    runningUpstreams: readonly upstreams.FakeUpstream[],
  ): readonly LostRequest[] {
    const endedAtMsById = new Map(
      runningUpstreams.flatMap(upstream =>
        upstream.runs.map(
          ({requestId}) =>
            [requestId, upstream.getEndedAtMs(requestId)] as const,
        ),
      ),
    );
    const lost: LostRequest[] = [];
    for (const [caller, requests] of this.requestsByCaller) {
      const received = caller.getAnswers();
      // Answers come in the order of the requests; an answer of the VM itself names none.
      for (const [index, request] of requests.entries()) {
        const answer = received.at(index);
        const {requestId} = request;
        const isServed =
          answer !== undefined &&
          answer.isComplete &&
          answer.isFromUpstream &&
          answer.requestId === requestId;
        if (endedAtMsById.has(requestId) && !isServed)
          lost.push({
            ...request,
            answer,
            endedAtMs: endedAtMsById.get(requestId),
            closedAtMs: caller.closedAtMs,
          });
      }
    }
    return lost;
  }

  private add(
    caller: callers.RawCaller,
    vm: number,
    remainingMs: number,
  ): string {
    const requestId = `q${this.nextRequest++}`;
    const requests = this.requestsByCaller.get(caller) ?? [];
    const sentAtMs = Date.now();
    requests.push({
      requestId,
      vm,
      sentAtMs,
      deadlineMs: sentAtMs + remainingMs,
    });
    this.requestsByCaller.set(caller, requests);
    return requestId;
  }
}
