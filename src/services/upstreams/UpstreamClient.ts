import type * as http from 'node:http';
import * as stream from 'node:stream';
import * as undici from 'undici';
import * as codecs from '../../codecs/index.js';
import type * as requests from '../../model/requests/index.js';
import * as httpService from '../http/index.js';

const MAX_CONNECTIONS = 48;
const CONNECT_TIMEOUT_MS = 1000;

/** Idle connections are closed before upstreams close them, so that no request meets a closing one. */
const KEEP_ALIVE_MS = 3000;

/** Answers up to this size are passed on whole; longer ones as they come. */
const MAX_WHOLE_BYTES = 262_144;

const HTTP_UNAVAILABLE = 503;

/** How the sending of one request to one upstream ended. */
export type SendResult =
  | {readonly kind: 'answered'; readonly answer: requests.UpstreamAnswer}
  /** The upstream says that it did not run the request. */
  | {readonly kind: 'shed'}
  /** There was no connection. */
  | {readonly kind: 'notSent'}
  /** The connection broke while the upstream had the request. */
  | {readonly kind: 'broken'}
  | {readonly kind: 'timedOut'}
  /** The caller left. */
  | {readonly kind: 'abandoned'};

/** A request as it goes to an upstream. */
export interface Sending {
  readonly request: requests.CallerRequest;
  readonly organisationId: string;

  /** Wall-clock time in milliseconds after which the upstream refuses the request. */
  readonly deadlineMs: number;

  /** Time in milliseconds until the deadline. */
  readonly remainingMs: number;

  /** Whether the upstream may still get the request; asked once a connection is free. */
  readonly mayStart: () => boolean;

  readonly abandoned: AbortSignal;
}

/** Owns the connections to one upstream. A connection that saw a timeout or a cancel is closed. */
export class UpstreamClient {
  private readonly upstreamId: string;
  private readonly pool: undici.Pool;
  private readonly resetMonitor = new httpService.ResetMonitor();

  /** @param address Where the upstream listens, as host:port. */
  constructor(upstreamId: string, address: string) {
    this.upstreamId = upstreamId;
    this.pool = new undici.Pool(`http://${address}`, {
      connections: MAX_CONNECTIONS,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: this.resetMonitor.getConnector(CONNECT_TIMEOUT_MS),
    });
  }

  /** Sends a request once, unless its caller has left. */
  send(sending: Sending): Promise<SendResult> {
    // A signal that has fired tells no listener that comes later.
    if (sending.abandoned.aborted) return Promise.resolve({kind: 'abandoned'});
    const {request} = sending;
    return new Promise(resolve => {
      const exchange = new Exchange(
        this.upstreamId,
        sending,
        this.resetMonitor,
        resolve,
      );
      this.pool.dispatch(
        {
          method: request.method as undici.Dispatcher.HttpMethod,
          path: request.target,
          headers: getHeaders(sending),
          body: request.body.length === 0 ? null : request.body,
        },
        exchange,
      );
    });
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }
}

/** One request and its answer on one connection. */
class Exchange implements undici.Dispatcher.DispatchHandler {
  private readonly upstreamId: string;
  private readonly sending: Sending;
  private readonly resetMonitor: httpService.ResetMonitor;
  private readonly resolve: (result: SendResult) => void;
  private readonly timer: httpService.ReadTimer;
  private readonly chunks: Buffer[] = [];
  private readonly onAbandoned = () => this.abort({kind: 'abandoned'});
  private controller: undici.Dispatcher.DispatchController | undefined;
  private sizeBytes = 0;
  private httpStatus = 0;
  private headers: readonly requests.Header[] = [];
  private isShed = false;
  private output: stream.PassThrough | undefined;
  private isSettled = false;

  constructor(
    upstreamId: string,
    sending: Sending,
    resetMonitor: httpService.ResetMonitor,
    resolve: (result: SendResult) => void,
  ) {
    this.upstreamId = upstreamId;
    this.sending = sending;
    this.resetMonitor = resetMonitor;
    this.resolve = resolve;
    this.timer = new httpService.ReadTimer(sending.remainingMs, () =>
      this.abort({kind: 'timedOut'}),
    );
    sending.abandoned.addEventListener('abort', this.onAbandoned);
  }

  onRequestStart(controller: undici.Dispatcher.DispatchController): void {
    if (!this.sending.mayStart())
      this.fail('notSent', new Error('the upstream has left'));
    this.controller = controller;
    if (this.isSettled) controller.abort(new Error('settled'));
  }

  onResponseStart(
    controller: undici.Dispatcher.DispatchController,
    httpStatus: number,
    headers: http.IncomingHttpHeaders,
  ): void {
    const requestId = headers[codecs.REQUEST_ID_HEADER];
    const isShed =
      httpStatus === HTTP_UNAVAILABLE &&
      headers[codecs.NOT_RUN_HEADER] === 'true';
    // A refusal is acted upon, so it must name the request.
    const isCrossed =
      requestId === undefined
        ? isShed
        : requestId !== this.sending.request.requestId;
    if (isCrossed) {
      this.abort({kind: 'broken'});
      return;
    }
    this.httpStatus = httpStatus;
    this.headers = toHeaders(headers);
    this.isShed = isShed;
  }

  onResponseData(
    controller: undici.Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.output !== undefined) {
      if (!this.output.write(chunk)) this.pause(controller, this.output);
      return;
    }
    this.chunks.push(chunk);
    this.sizeBytes += chunk.length;
    if (this.sizeBytes > MAX_WHOLE_BYTES) this.startStream();
  }

  onResponseEnd(): void {
    if (this.resetMonitor.isResetting) {
      this.fail('broken', new Error('reset within the answer'));
      return;
    }
    this.cleanUp();
    if (this.output !== undefined) {
      this.output.end();
      return;
    }
    if (this.isShed) this.settle({kind: 'shed'});
    else this.answer({kind: 'whole', bytes: Buffer.concat(this.chunks)});
  }

  onResponseError(
    controller: undici.Dispatcher.DispatchController | null,
    error: Error,
  ): void {
    const isNotSent =
      this.controller === undefined || httpService.isNotSent(error);
    this.fail(isNotSent ? 'notSent' : 'broken', error);
  }

  private fail(kind: 'notSent' | 'broken', error: Error): void {
    this.cleanUp();
    if (this.output === undefined) this.settle({kind});
    else this.output.destroy(error);
  }

  private startStream(): void {
    this.output = new stream.PassThrough();
    for (const chunk of this.chunks) this.output.write(chunk);
    this.answer({kind: 'stream', chunks: this.output});
  }

  private pause(
    controller: undici.Dispatcher.DispatchController,
    output: stream.PassThrough,
  ): void {
    controller.pause();
    output.once('drain', () => controller.resume());
  }

  private abort(result: SendResult): void {
    this.cleanUp();
    this.settle(result);
    this.controller?.abort(new Error(result.kind));
  }

  private answer(body: requests.AnswerBody): void {
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
    this.timer.cancel();
    this.sending.abandoned.removeEventListener('abort', this.onAbandoned);
  }
}

function getHeaders(sending: Sending): string[] {
  const {request, organisationId, deadlineMs} = sending;
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
