import type * as http from 'node:http';
import * as undici from 'undici';
import type * as codecs from '../../codecs/entry/index.js';
import * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import * as httpService from '../http/index.js';
import type * as margins from './getAnswerMargin.js';

/** Allows for two round trips between distant regions and a lost packet. */
const CONNECT_TIMEOUT_MS = 700;

/** Idle connections are closed well before upstreams close them, so that few requests meet a closing connection. */
const KEEP_ALIVE_TIMEOUT_MS = 4000;

/** How sending a request to one upstream ended. */
export type SendResult =
  | {
      readonly kind: 'answered';
      readonly answer: entry.EntryAnswer;
      readonly load: codecs.UpstreamLoad | undefined;
    }
  /** The upstream answered that it did not run the request. */
  | {
      readonly kind: 'shed';
      readonly load: codecs.UpstreamLoad | undefined;
    }
  /** The address belongs to another upstream now. */
  | {readonly kind: 'misdirected'}
  /** The request was not sent, since no connection could be opened. */
  | {readonly kind: 'notSent'; readonly reason: string}
  /** The request was not sent, since the upstream stopped being eligible while it waited for a connection. */
  | {readonly kind: 'withheld'}
  /** The connection broke after the request was sent on it. */
  | {
      readonly kind: 'broken';
      readonly reason: string;
      readonly phase: entry.RequestPhase;
    }
  /** The response is no answer, or does not belong to this request. */
  | {readonly kind: 'garbled'}
  | {readonly kind: 'timedOut'; readonly phase: entry.RequestPhase}
  /** The caller disconnected, or the request was cut off. */
  | {readonly kind: 'abandoned'; readonly phase: entry.RequestPhase};

/** A request to one upstream, with its encoded headers and its limits. */
export interface OutboundRequest {
  readonly request: entry.EntryRequest;

  /** Alternating header names and values. */
  readonly headers: string[];

  /** The time in milliseconds that the headers give to the upstream. */
  readonly remainingMs: number;

  /** How much longer its answer is awaited. */
  readonly answerMargin: margins.AnswerMargin;

  /** Whether the request needs a connection that no other request has used. */
  readonly needsNewConnection: boolean;

  /** Whether the upstream may still receive the request; called once a connection is available. */
  readonly isStillEligible: () => boolean;

  /** Called for each notice of the upstream, as soon as the head of its response has been read. */
  readonly onNotice: (notice: codecs.UpstreamNotice) => void;

  readonly abandoned: AbortSignal;
}

/** Owns the connections to one upstream. A connection that did not deliver a complete answer is closed. */
export class UpstreamConnections {
  private readonly upstreamId: string;
  private readonly origin: string;
  private readonly codec: codecs.WireCodec;
  private readonly pool: undici.Pool;
  private readonly memory: httpService.BodyMemory;
  private readonly resetMonitor = new httpService.ResetMonitor();

  /**
   * @param address Where the upstream listens, as host:port.
   * @param memory Bounds the answers that are being received, together with those of other upstreams.
   */
  constructor(
    upstreamId: string,
    address: string,
    codec: codecs.WireCodec,
    memory = new httpService.BodyMemory('answer'),
  ) {
    this.memory = memory;
    this.upstreamId = upstreamId;
    this.codec = codec;
    this.origin = `http://${address}`;
    this.pool = new undici.Pool(this.origin, {
      connections: null,
      ...getClientOptions(this.resetMonitor),
    });
  }

  /** Sends a request once, unless its caller has disconnected. */
  send(outbound: OutboundRequest): Promise<SendResult> {
    // An aborted signal doesn't notify listeners that are added later.
    if (outbound.abandoned.aborted)
      return Promise.resolve({kind: 'abandoned', phase: 'placing'});
    const {request} = outbound;
    const client = outbound.needsNewConnection
      ? new undici.Client(this.origin, getClientOptions(this.resetMonitor))
      : undefined;
    return new Promise(resolve => {
      const settle = (result: SendResult) => {
        if (client !== undefined) void client.destroy();
        resolve(result);
      };
      const exchange = new Exchange(
        this.upstreamId,
        this.codec,
        outbound,
        this.resetMonitor,
        this.memory,
        settle,
      );
      (client ?? this.pool).dispatch(
        {
          method: request.method as undici.Dispatcher.HttpMethod,
          path: request.target,
          headers: outbound.headers,
          body: request.body.length === 0 ? null : request.body,
        },
        exchange,
      );
    });
  }

  /** Closes the connections after their requests have ended. */
  async close(): Promise<void> {
    await this.pool.close();
  }

  /** Closes the connections at once, also those that are being opened; their requests fail. */
  async destroy(): Promise<void> {
    await this.pool.destroy();
  }
}

function getClientOptions(
  resetMonitor: httpService.ResetMonitor,
): undici.Client.Options {
  return {
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT_MS,
    headersTimeout: 0,
    maxResponseSize: httpService.MAX_UPSTREAM_ANSWER_BYTES,
    bodyTimeout: 0,
    connect: httpService.limitAnswerBytes(
      resetMonitor.getConnector(CONNECT_TIMEOUT_MS),
      httpService.MAX_UPSTREAM_ANSWER_BYTES,
    ),
  };
}

/** Sends one request on a connection and collects its answer. */
class Exchange
  implements undici.Dispatcher.DispatchHandler, httpService.HeldBody
{
  private readonly upstreamId: string;
  private readonly codec: codecs.WireCodec;
  private readonly outbound: OutboundRequest;
  private readonly resetMonitor: httpService.ResetMonitor;
  private readonly memory: httpService.BodyMemory;
  private readonly settle: (result: SendResult) => void;
  private readonly onTimeout = () =>
    this.abort({kind: 'timedOut', phase: this.phase});
  private readonly createdAtMs = performance.now();
  private timer: httpService.ReadTimer;
  private readonly body = new httpService.BodyBuffer('answer');
  private interimCount = 0;
  private readonly onAbandoned = () =>
    this.abort({kind: 'abandoned', phase: this.phase});
  private controller: undici.Dispatcher.DispatchController | undefined;
  private httpStatus = 0;
  private framing: entry.EntryAnswer['framing'] = 'length';
  private envelope: codecs.AnswerEnvelope | undefined;
  private isSettled = false;

  constructor(
    upstreamId: string,
    codec: codecs.WireCodec,
    outbound: OutboundRequest,
    resetMonitor: httpService.ResetMonitor,
    memory: httpService.BodyMemory,
    settle: (result: SendResult) => void,
  ) {
    this.upstreamId = upstreamId;
    this.codec = codec;
    this.outbound = outbound;
    this.resetMonitor = resetMonitor;
    this.memory = memory;
    this.settle = settle;
    this.timer = new httpService.ReadTimer(
      outbound.remainingMs,
      this.onTimeout,
    );
    outbound.abandoned.addEventListener('abort', this.onAbandoned);
  }

  get heldBytes(): number {
    return this.body.heldBytes;
  }

  private get phase(): entry.RequestPhase {
    if (this.controller === undefined) return 'connecting';
    return this.envelope === undefined ? 'atUpstream' : 'receivingAnswer';
  }

  get excessPieceCount(): number {
    return this.body.excessPieceCount;
  }

  drop(reason: httpService.DropReason): void {
    const {phase} = this;
    this.abort({kind: 'broken', reason: getDropText(reason), phase});
  }

  onRequestStart(controller: undici.Dispatcher.DispatchController): void {
    if (!this.outbound.isStillEligible()) this.finish({kind: 'withheld'});
    this.controller = controller;
    if (this.isSettled) {
      controller.abort(new Error('settled'));
      return;
    }
    this.timer.cancel();
    const {remainingMs, answerMargin} = this.outbound;
    const connectMs = performance.now() - this.createdAtMs;
    this.timer = new httpService.ReadTimer(
      remainingMs +
        Math.min(answerMargin.afterSendMs, answerMargin.totalMs - connectMs),
      this.onTimeout,
    );
  }

  onResponseStart(
    _controller: undici.Dispatcher.DispatchController,
    httpStatus: number,
    headers: http.IncomingHttpHeaders,
  ): void {
    const kind = decisions.getStatusKind(httpStatus);
    switch (kind) {
      case 'interim':
        this.countInterim();
        return;
      case 'invalid':
        this.abort({kind: 'garbled'});
        return;
      case 'final':
        break;
      default:
        errors.throwUnreachable(kind);
    }
    const envelope = this.codec.decodeAnswer(httpStatus, headers);
    if (!isAnswerTo(envelope, this.outbound.request)) {
      this.abort({kind: 'garbled'});
      return;
    }
    // Another upstream has the address; its notices are not about this one.
    if (envelope.executionStatus !== 'misdirected')
      for (const notice of envelope.notices) this.outbound.onNotice(notice);
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
    if (this.isSettled) return;
    this.body.add(chunk);
    this.memory.update(this);
  }

  onResponseEnd(): void {
    if (this.resetMonitor.isResetting) {
      const {phase} = this;
      this.finish({kind: 'broken', reason: 'reset within the answer', phase});
      return;
    }
    this.finishAnswer();
  }

  onResponseError(
    _controller: undici.Dispatcher.DispatchController | null,
    thrown: Error,
  ): void {
    if (this.envelope === undefined && httpService.isUnparsable(thrown)) {
      this.finish({kind: 'garbled'});
      return;
    }
    if (
      this.framing === 'connection' &&
      this.resetMonitor.isOrderlyEnd(thrown)
    ) {
      this.finishAnswer();
      return;
    }
    const reason = (thrown as {readonly code?: string}).code ?? thrown.message;
    const wasSent = this.controller !== undefined;
    this.finish(
      wasSent
        ? {kind: 'broken', reason, phase: this.phase}
        : {kind: 'notSent', reason},
    );
  }

  private finishAnswer(): void {
    const {envelope} = this;
    if (envelope === undefined) {
      this.finish({kind: 'garbled'});
      return;
    }
    switch (envelope.executionStatus) {
      case 'executed':
        this.finish({
          kind: 'answered',
          answer: {
            httpStatus: this.httpStatus,
            headers: envelope.headers,
            body: this.body.toBytes(),
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
      case 'unproven':
        this.finish({kind: 'garbled'});
        return;
    }
  }

  private countInterim(): void {
    this.interimCount += 1;
    if (this.interimCount <= httpService.MAX_INTERIM_ANSWERS) return;
    const {phase} = this;
    this.abort({kind: 'broken', reason: 'too many interim answers', phase});
  }

  private abort(result: SendResult): void {
    if (this.isSettled) return;
    const wasSent = this.controller !== undefined;
    const isBeforeSending = result.kind === 'timedOut' && !wasSent;
    this.finish(
      isBeforeSending ? {kind: 'notSent', reason: 'no connection'} : result,
    );
    this.controller?.abort(new Error(result.kind));
  }

  private finish(result: SendResult): void {
    if (this.isSettled) return;
    this.isSettled = true;
    this.memory.remove(this);
    this.body.clear();
    this.timer.cancel();
    this.outbound.abandoned.removeEventListener('abort', this.onAbandoned);
    this.settle(result);
  }
}

function getDropText(reason: httpService.DropReason): string {
  switch (reason) {
    case 'memory':
      return 'answers take too much memory';
    case 'fragmented':
      return 'answers come in too many small pieces';
  }
}

/**
 * Whether an answer belongs to a request. Only an answer to an executed request may leave out the request identifier:
 * after any other answer the request is retried. A success without proof may be bytes behind an earlier answer.
 */
function isAnswerTo(
  {requestId, executionStatus}: codecs.AnswerEnvelope,
  request: entry.EntryRequest,
): boolean {
  switch (executionStatus) {
    case 'executed':
      return requestId === undefined || requestId === request.requestId;
    case 'notExecuted':
    case 'misdirected':
      return requestId === request.requestId;
    case 'unproven':
      return false;
    default:
      return errors.throwUnreachable(executionStatus);
  }
}
