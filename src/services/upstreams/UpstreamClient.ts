import type * as http from 'node:http';
import * as stream from 'node:stream';
import * as undici from 'undici';
import * as codecs from '../../codecs/index.js';
import * as decisions from '../../decisions/index.js';
import * as errors from '../../model/errors/index.js';
import type * as requests from '../../model/requests/index.js';
import * as httpService from '../http/index.js';

const MAX_CONNECTIONS = 48;
const CONNECT_TIMEOUT_MS = 1000;

/** Idle connections are closed before upstreams close them, so that no request meets a closing connection. */
const KEEP_ALIVE_TIMEOUT_MS = 3000;

/** Answers up to this size are buffered and returned whole; longer answers are streamed. */
const MAX_BUFFERED_BYTES = 262_144;

const HTTP_UNAVAILABLE = 503;

/** How sending a request to one upstream ended. */
export type SendResult =
  | {readonly kind: 'answered'; readonly answer: requests.UpstreamAnswer}
  /** The upstream answered that it did not run the request. */
  | {readonly kind: 'shed'}
  /** The request was not sent, since no connection could be opened or the upstream is no longer eligible. */
  | {readonly kind: 'notSent'}
  /** The connection broke after the request was sent on it, or the answer did not belong to the request. */
  | {readonly kind: 'broken'}
  /** The response is no answer. */
  | {readonly kind: 'garbled'}
  | {readonly kind: 'timedOut'}
  /** The caller disconnected. */
  | {readonly kind: 'abandoned'};

/** A request to one upstream, with its limits. */
export interface OutboundRequest {
  readonly request: requests.CallerRequest;
  readonly organisationId: string;

  /** Wall-clock time in milliseconds after which the upstream rejects the request. */
  readonly deadlineMs: number;

  /** Time in milliseconds until the deadline. */
  readonly remainingMs: number;

  /** Whether the upstream may still receive the request; called once a connection is available. */
  readonly isStillEligible: () => boolean;

  readonly abandoned: AbortSignal;
}

/** Owns the connections to one upstream. A connection whose request timed out or was aborted is closed. */
export class UpstreamClient {
  private readonly upstreamId: string;
  private readonly pool: undici.Pool;
  private readonly memory: httpService.BodyMemory;
  private readonly resetMonitor = new httpService.ResetMonitor();
  private readonly pauser = new httpService.AnswerPauser();

  /**
   * @param address Where the upstream listens, as host:port.
   * @param memory Bounds the answers that are being received, together with those of other upstreams.
   */
  constructor(
    upstreamId: string,
    address: string,
    memory = new httpService.BodyMemory('answer'),
  ) {
    this.upstreamId = upstreamId;
    this.memory = memory;
    this.pool = new undici.Pool(`http://${address}`, {
      connections: MAX_CONNECTIONS,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: this.pauser.getConnector(
        this.resetMonitor.getConnector(CONNECT_TIMEOUT_MS),
      ),
    });
  }

  /** Sends a request once, unless its caller has disconnected. */
  send(outbound: OutboundRequest): Promise<SendResult> {
    // An aborted signal doesn't notify listeners that are added later.
    if (outbound.abandoned.aborted) return Promise.resolve({kind: 'abandoned'});
    const {request} = outbound;
    return new Promise(resolve => {
      const exchange = new Exchange(
        this.upstreamId,
        outbound,
        this.resetMonitor,
        this.pauser,
        this.memory,
        resolve,
      );
      this.pool.dispatch(
        {
          method: request.method as undici.Dispatcher.HttpMethod,
          path: request.target,
          headers: getHeaders(outbound),
          body: request.body.length === 0 ? null : request.body,
        },
        exchange,
      );
    });
  }

  /** Closes all connections; requests in progress fail. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }
}

/** Sends one request on a connection and collects its answer. */
class Exchange
  implements undici.Dispatcher.DispatchHandler, httpService.HeldBody
{
  private readonly upstreamId: string;
  private readonly outbound: OutboundRequest;
  private readonly resetMonitor: httpService.ResetMonitor;
  private readonly pauser: httpService.AnswerPauser;
  private readonly memory: httpService.BodyMemory;
  private readonly resolve: (result: SendResult) => void;
  private readonly timer: httpService.ReadTimer;
  private readonly body = new httpService.BodyBuffer('answer');
  private readonly onAbandoned = () => this.abort({kind: 'abandoned'});
  private controller: undici.Dispatcher.DispatchController | undefined;
  private interimCount = 0;
  private httpStatus = 0;
  private headers: readonly requests.Header[] = [];
  private isShed = false;

  /** Whether the answer has no length and ends with its connection. */
  private isUnframed = false;
  private output: stream.PassThrough | undefined;
  private isSettled = false;

  constructor(
    upstreamId: string,
    outbound: OutboundRequest,
    resetMonitor: httpService.ResetMonitor,
    pauser: httpService.AnswerPauser,
    memory: httpService.BodyMemory,
    resolve: (result: SendResult) => void,
  ) {
    this.upstreamId = upstreamId;
    this.outbound = outbound;
    this.resetMonitor = resetMonitor;
    this.pauser = pauser;
    this.memory = memory;
    this.resolve = resolve;
    this.timer = new httpService.ReadTimer(outbound.remainingMs, () =>
      this.abort({kind: 'timedOut'}),
    );
    outbound.abandoned.addEventListener('abort', this.onAbandoned);
  }

  get heldBytes(): number {
    return this.body.heldBytes;
  }

  get excessPieceCount(): number {
    return this.body.excessPieceCount;
  }

  drop(): void {
    this.abort({kind: 'broken'});
  }

  onRequestStart(controller: undici.Dispatcher.DispatchController): void {
    if (!this.outbound.isStillEligible())
      this.fail(
        'notSent',
        new Error('the upstream no longer accepts requests'),
      );
    this.controller = controller;
    if (this.isSettled) controller.abort(new Error('settled'));
  }

  onResponseStart(
    controller: undici.Dispatcher.DispatchController,
    httpStatus: number,
    headers: http.IncomingHttpHeaders,
  ): void {
    const kind = decisions.getStatusKind(httpStatus);
    switch (kind) {
      case 'interim':
        this.interimCount += 1;
        if (this.interimCount > httpService.MAX_INTERIM_ANSWERS)
          this.abort({kind: 'broken'});
        return;
      case 'invalid':
        this.abort({kind: 'garbled'});
        return;
      case 'final':
        break;
      default:
        errors.throwUnreachable(kind);
    }
    const requestId = headers[codecs.REQUEST_ID_HEADER];
    const isShed =
      httpStatus === HTTP_UNAVAILABLE &&
      headers[codecs.NOT_RUN_HEADER] === 'true';
    // A rejection has the request retried, so it must name the request.
    const isMismatched =
      requestId === undefined
        ? isShed
        : requestId !== this.outbound.request.requestId;
    if (isMismatched) {
      this.abort({kind: 'broken'});
      return;
    }
    this.httpStatus = httpStatus;
    this.headers = toHeaders(headers);
    this.isUnframed =
      headers['content-length'] === undefined &&
      headers['transfer-encoding'] === undefined;
    this.isShed = isShed;
  }

  onResponseData(
    controller: undici.Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    // The client passes on an empty piece when an answer is resumed.
    if (chunk.length === 0) return;
    const {output, body} = this;
    if (output === undefined) body.add(chunk);
    else body.skip(chunk);
    this.memory.update(this);
    if (output !== undefined) {
      if (!output.destroyed && !output.write(chunk))
        this.pause(controller, output);
    } else if (body.sizeBytes > MAX_BUFFERED_BYTES) {
      this.startStream();
    }
  }

  onResponseEnd(): void {
    if (this.resetMonitor.isResetting) {
      this.fail('broken', new Error('reset within the answer'));
      return;
    }
    this.finishAnswer();
  }

  onResponseError(
    controller: undici.Dispatcher.DispatchController | null,
    error: Error,
  ): void {
    if (this.isUnframed && this.resetMonitor.isOrderlyEnd(error)) {
      this.finishAnswer();
      return;
    }
    const isNotSent =
      this.controller === undefined || httpService.isNotSent(error);
    if (isNotSent) this.fail('notSent', error);
    // No head has come before the status is set.
    else if (this.httpStatus === 0 && httpService.isUnparsable(error))
      this.fail('garbled', error);
    else this.fail('broken', error);
  }

  private finishAnswer(): void {
    if (this.output !== undefined) this.output.end();
    else if (this.isShed) this.settle({kind: 'shed'});
    else this.settleAnswered({kind: 'whole', bytes: this.body.toBytes()});
    this.cleanUp();
  }

  private fail(kind: 'notSent' | 'broken' | 'garbled', error: Error): void {
    this.cleanUp();
    if (this.output === undefined) this.settle({kind});
    else this.output.destroy(error);
  }

  private startStream(): void {
    this.output = new stream.PassThrough();
    // An error that comes before anybody reads the answer would end the process; it is thrown to the reader instead.
    this.output.on('error', () => {});
    this.output.write(this.body.toBytes());
    this.body.clear();
    this.settleAnswered({kind: 'stream', chunks: this.output});
  }

  private pause(
    controller: undici.Dispatcher.DispatchController,
    output: stream.PassThrough,
  ): void {
    this.pauser.pause(controller);
    output.once('drain', () => this.pauser.resume(controller));
  }

  private abort(result: SendResult): void {
    this.cleanUp();
    this.settle(result);
    this.controller?.abort(new Error(result.kind));
  }

  private settleAnswered(body: requests.AnswerBody): void {
    const {upstreamId, httpStatus, headers} = this;
    this.settle({
      kind: 'answered',
      answer: {httpStatus, headers, body, upstreamId},
    });
  }

  private settle(result: SendResult): void {
    if (this.isSettled) return;
    this.isSettled = true;
    this.resolve(result);
  }

  private cleanUp(): void {
    this.memory.remove(this);
    this.body.clear();
    if (this.controller !== undefined) this.pauser.forget(this.controller);
    this.timer.cancel();
    this.outbound.abandoned.removeEventListener('abort', this.onAbandoned);
  }
}

function getHeaders(outbound: OutboundRequest): string[] {
  const {request, organisationId, deadlineMs} = outbound;
  const headers = request.headers.flatMap(({name, value}) => [name, value]);
  headers.push(codecs.REQUEST_ID_HEADER, request.requestId);
  headers.push(codecs.DEADLINE_HEADER, String(deadlineMs));
  if (organisationId !== '')
    headers.push(codecs.ORGANISATION_HEADER, organisationId);
  return headers;
}

function toHeaders(
  headers: http.IncomingHttpHeaders,
): readonly requests.Header[] {
  const entries: requests.Header[] = [];
  for (const name in headers) {
    const value = headers[name];
    if (value === undefined) continue;
    const values = Array.isArray(value) ? value : [value];
    for (const each of values) entries.push({name, value: each});
  }
  return entries;
}
