import type * as http from 'node:http';

/** What the headers of a caller's request say. */
export interface RequestEnvelope {
  readonly requestId: string;

  /** The key that the caller showed, or an empty string. */
  readonly key: string;

  /** The object that the request concerns, or an empty string. */
  readonly objectKey: string;

  /** How long in milliseconds the caller waits, or nothing when it did not say. */
  readonly remainingMs: number | undefined;

  /** Names and values in turn, as they are passed on. */
  readonly headers: readonly string[];
}

/** What is added to a request that is sent to an upstream. */
export interface DispatchEnvelope {
  readonly upstreamId: string;
  readonly organisationId: string | undefined;
  readonly remainingMs: number;
}

/** Whether an upstream ran a request. */
export type AnswerVerdict = 'executed' | 'notExecuted' | 'misdirected';

/** What an upstream says of its load. */
export interface UpstreamLoad {
  /** Requests that it runs or queues, for everyone. */
  readonly busyCount: number;
  readonly slotCount: number;
}

/** What the headers of an upstream's answer say. */
export interface AnswerEnvelope {
  readonly verdict: AnswerVerdict;

  /** The request that the answer belongs to, or nothing when it does not say. */
  readonly requestId: string | undefined;
  readonly load: UpstreamLoad | undefined;

  /** Names and values in turn, as they are returned to the caller. */
  readonly headers: readonly string[];
}

/** Translates between the names on the wire and ours; each deployment brings one of these. */
export interface WireCodec {
  /** Gets what a caller's headers say; names and values come in turn. */
  decodeRequest(rawHeaders: readonly string[]): RequestEnvelope;

  /** Gets the headers of a request to an upstream, names and values in turn. */
  encodeDispatch(
    headers: readonly string[],
    envelope: DispatchEnvelope,
  ): string[];

  /** Gets what an upstream's status and headers say. */
  decodeAnswer(
    httpStatus: number,
    headers: http.IncomingHttpHeaders,
  ): AnswerEnvelope;
}
