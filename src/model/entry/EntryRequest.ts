/** A caller's request before its body has been read, independent of the header names on the wire. */
export interface EntryRequestHead {
  /** Identifies this attempt of the caller. */
  readonly requestId: string;

  readonly method: string;
  readonly host: string;

  /** The path with the query string. */
  readonly target: string;

  /** The headers to forward, as alternating names and values; the API key is removed. */
  readonly headers: readonly string[];

  /** The API key that the caller sent, or an empty string. */
  readonly key: string;

  /** The identifier of the object that the request concerns, or an empty string. */
  readonly objectKey: string;

  /** The earliest monotonic time in milliseconds at which the request may have arrived. */
  readonly arrivedAtMs: number;

  /** Monotonic time in milliseconds at which the request's head was read. */
  readonly readAtMs: number;

  /** Monotonic time in milliseconds until which the caller waits for the response. */
  readonly callerDeadlineMs: number;
}

/** A caller's whole request. */
export interface EntryRequest extends EntryRequestHead {
  readonly body: Uint8Array;
}

/** A complete HTTP response from an upstream. */
export interface EntryAnswer {
  readonly httpStatus: number;

  /** The headers to return to the caller, as alternating names and values. */
  readonly headers: readonly string[];

  readonly body: Uint8Array;

  /**
   * What marked the end of the body: its declared length, or the closing of the connection, in which case
   * a truncated body can't be told from a complete one.
   */
  readonly framing: 'length' | 'connection';
  readonly upstreamId: string;
}
