import * as http from 'node:http';

/** Counts what is held for answers, for example the connection that they are written to. */
export interface AnswerCounter {
  /** Counts the bytes of an answer that the system has not taken yet. */
  countAnswer(response: CountedResponse): void;
}

/** An answer that reports when the system has not taken all that was written to it, so that what it holds can be counted. */
export class CountedResponse extends http.ServerResponse {
  /** Counts what the system has not taken of this answer; undefined until the HTTP server emits the request. */
  counter: AnswerCounter | undefined;

  override write(
    chunk: unknown,
    encoding?: unknown,
    onFlushed?: unknown,
  ): boolean {
    const isBelowHighWaterMark = super.write(
      chunk,
      encoding as BufferEncoding,
      onFlushed as () => void,
    );
    this.count();
    return isBelowHighWaterMark;
  }

  override end(chunk?: unknown, encoding?: unknown, onEnd?: unknown): this {
    super.end(chunk, encoding as BufferEncoding, onEnd as () => void);
    this.count();
    return this;
  }

  private count(): void {
    if (this.writableLength > 0) this.counter?.countAnswer(this);
  }
}
