/** What a caller asks for, free of the names on the wire. */
export interface EntryRequest {
  /** Names this attempt of the caller. */
  readonly requestId: string;

  readonly method: string;
  readonly host: string;

  /** The path with the query. */
  readonly target: string;

  /** Names and values in turn, as they are passed on; without the key. */
  readonly headers: readonly string[];

  readonly body: Uint8Array;

  /** The key that the caller showed, or an empty string. */
  readonly key: string;

  /** The object that the request concerns, or an empty string. */
  readonly objectKey: string;

  /** Monotonic time in milliseconds at which it was read. */
  readonly arrivedAtMs: number;

  /** Monotonic time in milliseconds until which the caller waits. */
  readonly callerDeadlineMs: number;
}

/** A whole answer of an upstream. */
export interface EntryAnswer {
  readonly httpStatus: number;

  /** Names and values in turn, as they are returned. */
  readonly headers: readonly string[];

  readonly body: Uint8Array;

  /** What ended the body: its stated length, or the upstream's connection, which proves nothing. */
  readonly framing: 'length' | 'connection';
  readonly upstreamId: string;
}
