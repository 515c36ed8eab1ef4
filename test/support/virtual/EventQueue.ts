/** An action that is scheduled at a point of virtual time. */
export interface QueuedEvent {
  readonly atMs: number;

  /** Orders events that have the same time. */
  readonly sequence: number;

  readonly action: () => void;
}

/** A priority queue of events, ordered by time and sequence number; a binary heap. */
export class EventQueue {
  private readonly heap: QueuedEvent[] = [];

  add(event: QueuedEvent): void {
    const {heap} = this;
    let index = heap.push(event) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(heap[index], heap[parent])) return;
      [heap[index], heap[parent]] = [heap[parent], heap[index]];
      index = parent;
    }
  }

  /** Returns the earliest event without removing it, or undefined when the queue is empty. */
  peek(): QueuedEvent | undefined {
    return this.heap[0];
  }

  /** Removes the earliest event, if there is one. */
  remove(): void {
    const {heap} = this;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) return;
    heap[0] = last;
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      let earliestIndex = index;
      if (left < heap.length && isBefore(heap[left], heap[earliestIndex]))
        earliestIndex = left;
      if (right < heap.length && isBefore(heap[right], heap[earliestIndex]))
        earliestIndex = right;
      if (earliestIndex === index) return;
      [heap[index], heap[earliestIndex]] = [heap[earliestIndex], heap[index]];
      index = earliestIndex;
    }
  }
}

function isBefore(a: QueuedEvent, b: QueuedEvent): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
}
