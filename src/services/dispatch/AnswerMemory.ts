/**
 * The most bytes of unfinished answers that one process holds: the smallest VM has 350 MB, of which the process itself
 * takes less than half.
 */
export const MAX_BUFFERED_BYTES = 64 * 1024 * 1024;

/** An answer that is being received. */
export interface BufferedAnswer {
  /** The number of bytes of the answer that are held. */
  readonly bufferedBytes: number;

  /** Stops receiving the answer and frees its bytes. */
  drop(): void;
}

/**
 * Bounds the memory that unfinished answers take, whatever upstreams send. When they take too much, the largest is
 * dropped, so that a few upstreams that send without end do not cost other requests their answers.
 */
export class AnswerMemory {
  private readonly answers = new Set<BufferedAnswer>();
  private totalBytes = 0;

  /** Counts further bytes of an answer; may drop that answer or another one. */
  add(answer: BufferedAnswer, bytes: number): void {
    this.answers.add(answer);
    this.totalBytes += bytes;
    if (this.totalBytes > MAX_BUFFERED_BYTES) this.dropLargest();
  }

  /** Forgets an answer that is complete or was given up. */
  remove(answer: BufferedAnswer): void {
    if (this.answers.delete(answer)) this.totalBytes -= answer.bufferedBytes;
  }

  private dropLargest(): void {
    let largest: BufferedAnswer | undefined;
    for (const answer of this.answers)
      if (answer.bufferedBytes > (largest?.bufferedBytes ?? 0))
        largest = answer;
    largest?.drop();
  }
}
