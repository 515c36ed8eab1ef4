/** A header of a request or an answer; the name is in lower case. */
export interface Header {
  readonly name: string;
  readonly value: string;
}

/** What a caller asks for, free of any wire form. */
export interface CallerRequest {
  /** Names this attempt over the whole fleet. */
  readonly requestId: string;

  /** The verb, in upper case. */
  readonly method: string;

  /** The path with the query. */
  readonly target: string;

  /** What is passed on to the upstream; holds no key. */
  readonly headers: readonly Header[];

  readonly body: Uint8Array;

  /** The key that the caller showed, or an empty string. */
  readonly key: string;

  /** The caller's idempotency key, or an empty string. */
  readonly idempotencyKey: string;
}

/** A whole answer of an upstream. */
export interface UpstreamAnswer {
  readonly httpStatus: number;
  readonly headers: readonly Header[];
  readonly body: AnswerBody;
  readonly upstreamId: string;
}

/** The body of an answer: small ones whole, long ones as they come. */
export type AnswerBody =
  | {readonly kind: 'whole'; readonly bytes: Uint8Array}
  | {readonly kind: 'stream'; readonly chunks: AsyncIterable<Uint8Array>};
