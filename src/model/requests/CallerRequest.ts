/** A header of an HTTP request or response; the name is in lower case. */
export interface Header {
  readonly name: string;
  readonly value: string;
}

/** A caller's request, independent of its encoding on the wire. */
export interface CallerRequest {
  /** Identifies this attempt, uniquely within the fleet. */
  readonly requestId: string;

  /** The HTTP method, in upper case. */
  readonly method: string;

  /** The path with the query string. */
  readonly target: string;

  /** The headers to forward to the upstream; the API key is removed. */
  readonly headers: readonly Header[];

  readonly body: Uint8Array;

  /** The API key that the caller sent, or an empty string. */
  readonly key: string;

  /** The caller's idempotency key, or an empty string. */
  readonly idempotencyKey: string;
}

/** An upstream's HTTP response. */
export interface UpstreamAnswer {
  readonly httpStatus: number;
  readonly headers: readonly Header[];
  readonly body: AnswerBody;
  readonly upstreamId: string;
}

/** The body of a response: buffered when small, streamed when large. */
export type AnswerBody =
  | {readonly kind: 'whole'; readonly bytes: Uint8Array}
  | {readonly kind: 'stream'; readonly chunks: AsyncIterable<Uint8Array>};
