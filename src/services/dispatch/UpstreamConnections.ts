import type * as http from 'node:http';
import * as undici from 'undici';
import type * as codecs from '../../codecs/entry/index.js';
import type * as entry from '../../model/entry/index.js';
import * as httpService from '../http/index.js';

/** How long in milliseconds a new connection may take: two round trips between far regions and a lost packet. */
const CONNECT_TIMEOUT_MS = 700;

/** Idle connections are closed well before upstreams close them, so that few requests meet a closing one. */
const KEEP_ALIVE_MS = 4000;

/** How an attempt to have one upstream run a request ended. */
export type SendResult =
  | {
      readonly kind: 'answered';
      readonly answer: entry.EntryAnswer;
      readonly load: codecs.UpstreamLoad | undefined;
    }
  /** The upstream says that it did not run the request. */
  | {
      readonly kind: 'shed';
      readonly load: codecs.UpstreamLoad | undefined;
    }
  /** Another upstream has the address now. */
  | {readonly kind: 'misdirected'}
  /** There was no connection. */
  | {readonly kind: 'notSent'; readonly reason: string}
  /** The connection broke while the upstream had the request. */
  | {readonly kind: 'broken'; readonly reason: string}
  /** What came was not the answer to this request. */
  | {readonly kind: 'garbled'}
  | {readonly kind: 'timedOut'}
  /** The caller left. */
  | {readonly kind: 'abandoned'};

/** A request as it goes to one upstream. */
export interface Sending {
  readonly request: entry.EntryRequest;

  /** Names and values in turn. */
  readonly headers: string[];

  /** How long in milliseconds the answer is waited for. */
  readonly remainingMs: number;

  /** Whether a connection that was used before must not be taken. */
  readonly isFreshOnly: boolean;

  /** Whether the upstream may still get the request; asked once there is a connection. */
  readonly mayStart: () => boolean;

  readonly abandoned: AbortSignal;
}

/** Owns the connections to one upstream. A connection that saw anything but a whole answer is closed. */
export class UpstreamConnections {
  private readonly upstreamId: string;
  private readonly origin: string;
  private readonly codec: codecs.WireCodec;
  private readonly pool: undici.Pool;
  private readonly resets = new httpService.ResetWatch();

  /** @param address Where the upstream listens, as host:port. */
  constructor(upstreamId: string, address: string, codec: codecs.WireCodec) {
    this.upstreamId = upstreamId;
    this.codec = codec;
    this.origin = `http://${address}`;
    this.pool = new undici.Pool(this.origin, {
      connections: null,
      ...getOptions(this.resets),
    });
  }

  /** Sends a request once, unless its caller has left. */
  send(sending: Sending): Promise<SendResult> {
    // A signal that has fired tells no listener that comes later.
    if (sending.abandoned.aborted) return Promise.resolve({kind: 'abandoned'});
    const {request} = sending;
    const client = sending.isFreshOnly
      ? new undici.Client(this.origin, getOptions(this.resets))
      : undefined;
    return new Promise(resolve => {
      const settle = (result: SendResult) => {
        if (client !== undefined) void client.destroy();
        resolve(result);
      };
      const exchange = new Exchange(
        this.upstreamId,
        this.codec,
        sending,
        this.resets,
        settle,
      );
      (client ?? this.pool).dispatch(
        {
          method: request.method as undici.Dispatcher.HttpMethod,
          path: request.target,
          headers: sending.headers,
          body: request.body.length === 0 ? null : request.body,
        },
        exchange,
      );
    });
  }

  /** Closes the connections once their requests are done. */
  async close(): Promise<void> {
    await this.pool.close();
  }
}

function getOptions(resets: httpService.ResetWatch): undici.Client.Options {
  return {
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_MS,
    keepAliveMaxTimeout: KEEP_ALIVE_MS,
    headersTimeout: 0,
    maxResponseSize: httpService.MAX_UPSTREAM_ANSWER_BYTES,
    bodyTimeout: 0,
    connect: resets.getConnector(CONNECT_TIMEOUT_MS),
  };
}

/** One request and its answer on one connection. */
class Exchange implements undici.Dispatcher.DispatchHandler {
  private readonly upstreamId: string;
  private readonly codec: codecs.WireCodec;
  private readonly sending: Sending;
  private readonly resets: httpService.ResetWatch;
  private readonly settle: (result: SendResult) => void;
  private readonly timer: httpService.ReadTimer;
  private readonly chunks: Buffer[] = [];
  private readonly onAbandoned = () => this.abort({kind: 'abandoned'});
  private controller: undici.Dispatcher.DispatchController | undefined;
  private httpStatus = 0;
  private framing: entry.EntryAnswer['framing'] = 'length';
  private envelope: codecs.AnswerEnvelope | undefined;
  private isSettled = false;

  constructor(
    upstreamId: string,
    codec: codecs.WireCodec,
    sending: Sending,
    resets: httpService.ResetWatch,
    settle: (result: SendResult) => void,
  ) {
    this.upstreamId = upstreamId;
    this.codec = codec;
    this.sending = sending;
    this.resets = resets;
    this.settle = settle;
    this.timer = new httpService.ReadTimer(sending.remainingMs, () =>
      this.abort({kind: 'timedOut'}),
    );
    sending.abandoned.addEventListener('abort', this.onAbandoned);
  }

  onRequestStart(controller: undici.Dispatcher.DispatchController): void {
    if (!this.sending.mayStart())
      this.finish({kind: 'notSent', reason: 'the upstream has left'});
    this.controller = controller;
    if (this.isSettled) controller.abort(new Error('settled'));
  }

  onResponseStart(
    _controller: undici.Dispatcher.DispatchController,
    httpStatus: number,
    headers: http.IncomingHttpHeaders,
  ): void {
    if (httpStatus < 200) return;
    const envelope = this.codec.decodeAnswer(httpStatus, headers);
    if (!isAnswerTo(envelope, this.sending.request)) {
      this.abort({kind: 'garbled'});
      return;
    }
    this.httpStatus = httpStatus;
    this.envelope = envelope;
    const isFramed =
      headers['content-length'] !== undefined ||
      headers['transfer-encoding'] !== undefined;
    this.framing = isFramed ? 'length' : 'connection';
  }

  onResponseData(
    _controller: undici.Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.chunks.push(chunk);
  }

  onResponseEnd(): void {
    const {envelope} = this;
    if (this.resets.isResetting) {
      this.finish({kind: 'broken', reason: 'reset within the answer'});
      return;
    }
    if (envelope === undefined) {
      this.finish({kind: 'garbled'});
      return;
    }
    switch (envelope.verdict) {
      case 'executed':
        this.finish({
          kind: 'answered',
          answer: {
            httpStatus: this.httpStatus,
            headers: envelope.headers,
            body:
              this.chunks.length === 1
                ? this.chunks[0]
                : Buffer.concat(this.chunks),
            framing: this.framing,
            upstreamId: this.upstreamId,
          },
          load: envelope.load,
        });
        return;
      case 'notExecuted':
        this.finish({kind: 'shed', load: envelope.load});
        return;
      case 'misdirected':
        this.finish({kind: 'misdirected'});
        return;
    }
  }

  onResponseError(
    _controller: undici.Dispatcher.DispatchController | null,
    thrown: Error,
  ): void {
    const reason = (thrown as {readonly code?: string}).code ?? thrown.message;
    const wasSent = this.controller !== undefined;
    this.finish({kind: wasSent ? 'broken' : 'notSent', reason});
  }

  private abort(result: SendResult): void {
    if (this.isSettled) return;
    const wasSent = this.controller !== undefined;
    const isEarly = result.kind === 'timedOut' && !wasSent;
    this.finish(isEarly ? {kind: 'notSent', reason: 'no connection'} : result);
    this.controller?.abort(new Error(result.kind));
  }

  private finish(result: SendResult): void {
    if (this.isSettled) return;
    this.isSettled = true;
    this.timer.cancel();
    this.sending.abandoned.removeEventListener('abort', this.onAbandoned);
    this.settle(result);
  }
}

/** Whether an answer belongs to a request. One that says that it was not run must name it: it is acted upon. */
function isAnswerTo(
  {requestId, verdict}: codecs.AnswerEnvelope,
  request: entry.EntryRequest,
): boolean {
  if (requestId === undefined) return verdict === 'executed';
  return requestId === request.requestId;
}
