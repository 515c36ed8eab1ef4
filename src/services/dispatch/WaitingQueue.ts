import type * as kernel from '../../kernel/index.js';
import * as decisions from '../../decisions/index.js';

/** The largest number of waiting requests; beyond it, the least urgent one is refused. */
const MAX_ENTRY_COUNT = 64;

/** A request that waits until an upstream accepts it. */
export interface WaitingRequest extends decisions.WaitingRank {
  readonly serviceId: string;

  /** Monotonic time in milliseconds until which the request may wait. */
  readonly untilMs: number;

  /** Aborted when the caller disconnects, and when the request is cut off. */
  readonly abandoned: AbortSignal;

  /** Places the request as of now. */
  readonly place: () => decisions.Placement;
}

interface Entry {
  readonly request: WaitingRequest;
  readonly leave: (placement: decisions.Placement) => void;
}

/** What a waiting queue needs of its task. */
export interface WaitingContext {
  readonly getNowMs: () => number;
  readonly after: kernel.Timers['after'];
}

/** The requests of this VM that wait for an answer to free capacity, the most urgent first. */
export class WaitingQueue {
  private readonly context: WaitingContext;
  private entries: readonly Entry[] = [];

  /** @param context The clock and the timers of the task. */
  constructor(context: WaitingContext) {
    this.context = context;
  }

  /** The number of waiting requests. */
  get size(): number {
    return this.entries.length;
  }

  /** Waits until the request can be placed or leaves. Resolves with its last placement. */
  async wait(request: WaitingRequest): Promise<decisions.Placement> {
    const placement = await new Promise<decisions.Placement>(resolve => {
      const leaveUnplaced = () => entry.leave(request.place());
      const cancelTimer = this.context.after(
        Math.max(0, request.untilMs - this.context.getNowMs()),
        leaveUnplaced,
      );
      const entry: Entry = {
        request,
        leave: last => {
          this.entries = this.entries.filter(other => other !== entry);
          cancelTimer();
          request.abandoned.removeEventListener('abort', leaveUnplaced);
          resolve(last);
        },
      };
      request.abandoned.addEventListener('abort', leaveUnplaced);
      this.entries = [...this.entries, entry].sort((a, b) =>
        decisions.compareWaiting(a.request, b.request),
      );
      const last = this.entries.at(-1);
      if (this.entries.length > MAX_ENTRY_COUNT)
        last?.leave(last.request.place());
    });
    return placement;
  }

  /** Places the most urgent request of a service that can be placed, after an answer has freed capacity. */
  wake(serviceId: string): void {
    for (const {request, leave} of this.entries) {
      if (request.serviceId !== serviceId) continue;
      const placement = request.place();
      switch (placement.kind) {
        case 'chosen':
          leave(placement);
          return;
        case 'crowded':
          // A request that cannot be placed within its wait is refused without using up its caller's time.
          if (
            !decisions.isWorthWaiting(
              placement,
              request,
              this.context.getNowMs(),
            )
          )
            leave(placement);
          break;
        case 'none':
        case 'full':
          leave(placement);
      }
    }
  }
}
