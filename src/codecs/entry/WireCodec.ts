import type * as http from 'node:http';

/** The content of the headers of a caller's request. */
export interface RequestEnvelope {
  readonly requestId: string;

  /** The API key that the caller sent, or an empty string. */
  readonly key: string;

  /** The identifier of the object that the request concerns, or an empty string. */
  readonly objectKey: string;

  /** How long in milliseconds the caller waits for the response; undefined when the request states no deadline. */
  readonly remainingMs: number | undefined;

  /** The headers to forward to the upstream, as alternating names and values. */
  readonly headers: readonly string[];
}

/** The values of the headers that are added to a request when it is sent to an upstream. */
export interface DispatchEnvelope {
  readonly upstreamId: string;
  readonly organisationId: string | undefined;
  readonly remainingMs: number;
}

/**
 * Whether an upstream ran a request; `misdirected` means that the request reached a different upstream than
 * the one it was sent to, and `unproven` a success without the proof that the upstream adds to each success.
 */
export type ExecutionStatus =
  'executed' | 'notExecuted' | 'misdirected' | 'unproven';

/** The load that an upstream reports with a response. */
export interface UpstreamLoad {
  /** Requests that the upstream runs or queues, from all VMs. */
  readonly busyCount: number;
  readonly slotCount: number;

  /** The factor by which work takes longer than usual on the upstream's machine now; absent if it is not reported. */
  readonly slowdown?: number;
}

/** What an upstream tells this VM with a response, besides the response itself. */
export type UpstreamNotice =
  /** The upstream shuts down and wants no more requests. */
  | {readonly kind: 'leaving'}
  /** The upstream wants no requests from this VM for the given time, counted from the response. */
  | {readonly kind: 'pause'; readonly pauseMs: number}
  /** A header that holds a notice cannot be read. */
  | {
      readonly kind: 'unreadable';
      readonly header: string;
      readonly value: string;
    };

/** The content of the status and the headers of an upstream's response. */
export interface AnswerEnvelope {
  readonly executionStatus: ExecutionStatus;

  /** Identifies the request that the response belongs to; undefined when the response has no such header. */
  readonly requestId: string | undefined;
  readonly load: UpstreamLoad | undefined;
  readonly notices: readonly UpstreamNotice[];

  /** The headers to return to the caller, as alternating names and values. */
  readonly headers: readonly string[];
}

/** Translates between the headers of a deployment and this project's types; each deployment provides its own codec. */
export interface WireCodec {
  /** Decodes the headers of a caller's request, given as alternating names and values. */
  decodeRequest(rawHeaders: readonly string[]): RequestEnvelope;

  /** Returns the headers of a request to an upstream, as alternating names and values. */
  encodeDispatch(
    headers: readonly string[],
    envelope: DispatchEnvelope,
  ): string[];

  /** Decodes the HTTP status and the headers of an upstream's response. */
  decodeAnswer(
    httpStatus: number,
    headers: http.IncomingHttpHeaders,
  ): AnswerEnvelope;
}
