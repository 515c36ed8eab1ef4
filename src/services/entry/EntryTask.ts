import type * as http from 'node:http';
import * as h3 from 'h3';
import type * as codecs from '../../codecs/entry/index.js';
import * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import * as base from '../base/index.js';
import * as httpService from '../http/index.js';
import * as knowledgeService from '../knowledge/KnowledgeMessage.js';
import * as membersService from '../members/MembersMessage.js';
import * as exchanges from './CallerExchange.js';
import type * as messages from './EntryMessage.js';
import * as flows from './EntryFlow.js';
import * as gates from './IntakeGate.js';
import * as delays from './LoopDelay.js';

/** How long in milliseconds a caller waits that says nothing of it. */
const DEFAULT_WAIT_MS = 60_000;

/** Pause in milliseconds that callers are asked to make while nothing is known yet. */
const UNREADY_RETRY_MS = 300;

/** Time in milliseconds for which a stopping process goes on taking callers that have not heard of it. */
const LEAVE_MS = 3000;

/** Time in milliseconds that is left of the grace period for closing. */
const CLOSE_MS = 700;

/** The delay of the event loop in milliseconds from which it is logged: it takes callers' time. */
const LOGGED_DELAY_MS = 100;

/** What the entry service is told when it is made. */
export interface EntryOptions {
  readonly address: entry.SocketAddress;
  readonly bounds: entry.EntryBounds;
  readonly codec: codecs.WireCodec;

  /** Draws the requests that are refused under load. */
  readonly seed: number;
}

/** Owns the callers' listener: decides what may run and takes it to upstreams and back. */
export class EntryTask extends base.ServiceTask<messages.EntryMessage> {
  private readonly options: EntryOptions;
  private readonly listener: httpService.HttpListener;
  private readonly accepts: httpService.AcceptWatch;
  private readonly gate: gates.IntakeGate;
  private readonly connections = new httpService.CallerConnections(
    () => this.nowMs(),
    ({unansweredCount, answeredCount}) => {
      this.count('callers_left');
      this.log('info', 'callerLeft', {
        unanswered: unansweredCount,
        answered: answeredCount,
      });
    },
  );
  private readonly barrier = new httpService.ReadBarrier();
  private delay: delays.LoopDelay | undefined;
  private index: decisions.EntryIndex | undefined;
  private configuration: entry.EntryConfiguration | undefined;
  private view: membersService.MembersChanged | undefined;
  private flow: flows.EntryFlow | undefined;
  private hasUpstreams = false;
  private isLeaving = false;

  /** @param options Where callers come in and how they speak. */
  constructor(options: EntryOptions) {
    super();
    this.options = options;
    this.gate = new gates.IntakeGate(
      () => this.nowMs(),
      new base.RandomSource(options.seed),
    );
    const app = new h3.H3();
    app.all(
      '/**',
      h3.fromNodeHandler((request, response) =>
        this.handle(
          request as http.IncomingMessage,
          response as http.ServerResponse,
        ),
      ),
    );
    this.listener = new httpService.HttpListener(
      options.address,
      h3.toNodeHandler(app),
    );
    this.accepts = new httpService.AcceptWatch(
      this.listener,
      () => this.nowMs(),
      () => this.getReadArrivalMs(),
    );
    this.listener.onConnection(() => {
      this.count('connections_accepted');
      this.observe('accept_wait_ms', this.accepts.waitMs);
    });
  }

  protected override async onStart(): Promise<void> {
    this.flow = new flows.EntryFlow(this.getContext().services, this.gate);
    this.delay = new delays.LoopDelay(this.nowMs());
    this.postEvery(delays.LOOP_TICK_MS, {kind: 'tick'});
    const subscriber = this.getAddress();
    const knowledge = this.getService(knowledgeService.KNOWLEDGE);
    knowledge.post({kind: 'subscribeOperatorRows', subscriber});
    knowledge.post({kind: 'subscribeUpstreamRows', subscriber});
    this.getService(membersService.MEMBERS).post({
      kind: 'subscribe',
      subscriber,
    });
    await this.listener.open();
  }

  /** Takes callers until they have heard of the stop, finishes all requests and closes. */
  protected override async onStop(): Promise<void> {
    this.isLeaving = true;
    this.getService(membersService.MEMBERS).post({kind: 'leave'});
    await this.wait(Math.min(LEAVE_MS, this.getGraceMs()));
    // From here on nothing new comes in, so that the requests under way can all end.
    this.accepts.close();
    const closed = this.listener.close();
    await Promise.race([closed, this.wait(this.getGraceMs() - LEAVE_MS)]);
    this.listener.closeNow();
  }

  /** Gets how long in milliseconds a stop may take. */
  private getGraceMs(): number {
    return Math.max(0, this.options.bounds.gracePeriodMs - CLOSE_MS);
  }

  protected override receive(message: messages.EntryMessage): void {
    switch (message.kind) {
      case 'operatorRowsChanged':
        this.setOperatorRows(message);
        return;
      case 'upstreamRowsChanged':
        this.hasUpstreams = true;
        return;
      case 'membersChanged':
        this.view = message;
        return;
      case 'tick':
        this.measureDelay();
        return;
      case 'isReady':
        message.reply(this.isReady());
        return;
      case 'steer':
        message.reply(
          decisions.chooseEntryVms(this.view?.serving ?? [], message.place),
        );
        return;
      default:
        errors.throwUnreachable(message);
    }
  }

  /** Gets the earliest time at which what is read now may have arrived, in milliseconds. */
  private getReadArrivalMs(): number {
    const nowMs = this.nowMs();
    return this.delay?.getArrivalMs(nowMs) ?? nowMs;
  }

  /** Measures how far the process is behind. */
  private measureDelay(): void {
    const acceptWaitMs = this.accepts.waitMs;
    if (this.gate.takenPart < 1)
      this.log('warn', 'intakeReduced', {
        takenPart: this.gate.takenPart.toFixed(2),
      });
    if (acceptWaitMs >= LOGGED_DELAY_MS)
      this.log('warn', 'acceptDelayed', {waitMs: Math.round(acceptWaitMs)});
    const delayMs = this.delay?.noteTick(this.nowMs()) ?? 0;
    this.observe('loop_delay_ms', delayMs);
    if (delayMs >= LOGGED_DELAY_MS)
      this.log('warn', 'loopDelayed', {delayMs: Math.round(delayMs)});
  }

  private isReady(): boolean {
    return (
      this.configuration !== undefined && this.hasUpstreams && !this.isLeaving
    );
  }

  private setOperatorRows(message: knowledgeService.OperatorRowsChanged): void {
    const {configuration} = message.rows;
    const {certainUntilMs} = message;
    if (configuration === this.configuration && this.index !== undefined) {
      this.index = {...this.index, certainUntilMs};
      return;
    }
    this.configuration = configuration;
    this.listener.setCallerLimits(
      configuration.callerLimits.idleTimeoutMs,
      configuration.callerLimits.headerTimeoutMs,
    );
    this.index = {
      routes: new decisions.RouteIndex(configuration.routes),
      organisationsByKey: new Map(
        configuration.organisations.flatMap(organisation =>
          organisation.keys.map(key => [key, organisation] as const),
        ),
      ),
      hasOrganisations: configuration.hasOrganisations,
      certainUntilMs,
    };
  }

  private async handle(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const readAtMs = this.nowMs();
    const arrivedAtMs = Math.min(
      this.getReadArrivalMs(),
      this.accepts.getConnectionArrivalMs(incoming.socket) ?? Infinity,
    );
    const connection = this.connections.get(incoming.socket);
    const exchange = new exchanges.CallerExchange(connection, response);
    const envelope = this.options.codec.decodeRequest(incoming.rawHeaders);
    const callerDeadlineMs =
      arrivedAtMs + (envelope.remainingMs ?? DEFAULT_WAIT_MS);
    try {
      const body = await this.readBody(incoming, arrivedAtMs, callerDeadlineMs);
      const bodyMs = this.nowMs() - readAtMs;
      await this.barrier.wait();
      // A body that comes slowly says nothing of this VM.
      this.gate.noteTurn(arrivedAtMs + bodyMs);
      const request: entry.EntryRequest = {
        requestId: envelope.requestId,
        method: incoming.method ?? 'GET',
        host: incoming.headers.host ?? '',
        target: incoming.url ?? '/',
        headers: envelope.headers,
        body,
        key: envelope.key,
        objectKey: envelope.objectKey,
        arrivedAtMs,
        callerDeadlineMs,
      };
      this.write(
        exchange,
        request,
        await this.run(request, exchange.abandoned),
      );
    } catch (thrown) {
      const error = errors.toError(thrown);
      this.fail(exchange, envelope.requestId, {
        kind: 'failed',
        error: error.kind,
        message: error.message,
        retryAtMs: undefined,
      });
    }
    this.observe('request_ms', this.nowMs() - arrivedAtMs);
    this.noteDeparture(exchange, envelope.requestId);
  }

  /** Reads a request's body for no longer than its route or its caller allows. */
  private async readBody(
    incoming: http.IncomingMessage,
    arrivedAtMs: number,
    callerDeadlineMs: number,
  ): Promise<Uint8Array> {
    if (!httpService.hasBody(incoming)) return EMPTY_BODY;
    const route = this.index?.routes.findTarget(
      incoming.headers.host ?? '',
      incoming.url ?? '/',
    );
    const deadlineMs =
      route === undefined
        ? callerDeadlineMs
        : Math.min(callerDeadlineMs, arrivedAtMs + route.timeLimitMs);
    const timeout = new httpService.ReadTimeout(deadlineMs - this.nowMs());
    try {
      return await httpService.readBody(
        incoming,
        this.configuration?.callerLimits.maxBodyBytes,
        timeout.signal,
      );
    } finally {
      timeout.cancel();
    }
  }

  /** Notes for how long a request was worked on after its caller had left. */
  private noteDeparture(
    {leftAtMs}: exchanges.CallerExchange,
    requestId: string,
  ): void {
    if (leftAtMs === undefined) return;
    const sinceLeftMs = this.nowMs() - leftAtMs;
    this.count('answers_undelivered');
    this.observe('after_departure_ms', sinceLeftMs);
    this.log('info', 'answerUndelivered', {
      request: requestId,
      sinceLeftMs: Math.round(sinceLeftMs),
    });
  }

  private async run(
    request: entry.EntryRequest,
    abandoned: AbortSignal,
  ): Promise<flows.EntryResult> {
    if (this.index === undefined || this.flow === undefined)
      return {
        kind: 'failed',
        error: 'notFresh',
        message: 'no configuration is known yet',
        retryAtMs: this.nowMs() + UNREADY_RETRY_MS,
      };
    const decision = decisions.decideEntry(this.index, request, this.nowMs());
    if (decision.kind === 'refused')
      return {
        kind: 'failed',
        error: decision.error,
        message: decision.message,
        retryAtMs: this.nowMs() + UNREADY_RETRY_MS,
      };
    const {route, organisation} = decision;
    return await this.flow.run({request, route, organisation, abandoned});
  }

  private write(
    exchange: exchanges.CallerExchange,
    request: entry.EntryRequest,
    result: flows.EntryResult,
  ): void {
    switch (result.kind) {
      case 'answered': {
        const {answer} = result;
        this.count('requests_answered');
        this.log('debug', 'requestServed', () => ({
          request: request.requestId,
          upstream: answer.upstreamId,
          status: answer.httpStatus,
          tookMs: Math.round(this.nowMs() - request.arrivedAtMs),
        }));
        this.writeAnswer(exchange, request.requestId, answer);
        return;
      }
      case 'abandoned':
        this.count('requests_abandoned');
        return;
      case 'failed':
        this.fail(exchange, request.requestId, result);
        return;
      default:
        errors.throwUnreachable(result);
    }
  }

  /** Writes an answer; one whose end its upstream's connection marked is not given a length either. */
  private writeAnswer(
    exchange: exchanges.CallerExchange,
    requestId: string,
    answer: entry.EntryAnswer,
  ): void {
    const {httpStatus, headers, body} = answer;
    switch (answer.framing) {
      case 'length':
        exchange.send(httpStatus, headers, body, this.isLeaving);
        return;
      case 'connection':
        if (exchange.otherCount > 0)
          // Its end would close the connection to requests that have run, or are running, behind it.
          this.fail(exchange, requestId, {
            kind: 'failed',
            error: 'upstreamFailed',
            message: `${answer.upstreamId} gave an answer without a length`,
            retryAtMs: undefined,
          });
        else exchange.sendUnframed(answer);
        return;
      default:
        errors.throwUnreachable(answer.framing);
    }
  }

  private fail(
    exchange: exchanges.CallerExchange,
    requestId: string,
    failure: Extract<flows.EntryResult, {kind: 'failed'}>,
  ): void {
    const {error, message, retryAtMs} = failure;
    const {isNotRun, httpStatus} = errors.ERROR_ANSWERS[error];
    this.count(isNotRun ? 'requests_refused' : 'requests_failed');
    if (error === 'rateLimited') this.count('requests_refused_rate');
    if (error === 'overloaded') this.count('requests_refused_load');
    const waitMs =
      retryAtMs === undefined
        ? undefined
        : Math.max(0, retryAtMs - this.nowMs());
    this.log('info', 'requestRefused', {
      request: requestId,
      error,
      message,
      version: this.configuration?.version ?? 0,
      ...(waitMs === undefined ? {} : {retryAfterMs: Math.round(waitMs)}),
    });
    const headers =
      isNotRun && waitMs !== undefined
        ? ['retry-after', (waitMs / 1000).toFixed(3)]
        : [];
    exchange.send(httpStatus, headers, EMPTY_BODY, this.isLeaving);
  }

  private wait(delayMs: number): Promise<void> {
    return new Promise(resolve => {
      this.getContext().timers.after(delayMs, resolve);
    });
  }
}

const EMPTY_BODY = new Uint8Array();
