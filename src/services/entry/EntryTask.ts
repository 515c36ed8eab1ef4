import type * as http from 'node:http';
import type * as codecs from '../../codecs/entry/index.js';
import * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import * as base from '../base/index.js';
import * as dispatchService from '../dispatch/DispatchMessage.js';
import * as httpService from '../http/index.js';
import * as knowledgeService from '../knowledge/KnowledgeMessage.js';
import type * as logs from '../logs/LogMessage.js';
import * as membersService from '../members/MembersMessage.js';
import * as exchanges from './CallerExchange.js';
import type * as messages from './EntryMessage.js';
import * as flows from './EntryFlow.js';
import * as ends from './getEndFields.js';
import * as shedders from './LoadShedder.js';
import * as delays from './LoopDelayMonitor.js';

/** How long a caller is assumed to wait for its answer when its request states no deadline. */
const DEFAULT_CALLER_TIMEOUT_MS = 60_000;

/** Delay after which callers may retry a request that is refused before dispatch, such as without a configuration. */
const UNREADY_RETRY_DELAY_MS = 300;

/** How long a stopping process still accepts connections, so that callers have time to switch to other VMs. */
const DEREGISTRATION_DELAY_MS = 3000;

/** Part of the grace period, at its end, in which requests still in progress are cut off and the answers are sent. */
const CUT_OFF_RESERVE_MS = 700;

/**
 * How long before the end of the grace period the last deadline is that a request may have to be certain of an answer. An
 * answer may come later than the deadline, but before requests are cut off.
 */
const DEADLINE_RESERVE_MS =
  CUT_OFF_RESERVE_MS + dispatchService.MAX_OVERTIME_MS + 100;

/** Part of the grace period, at its end, that is left to the services that stop after this one. */
const CLOSE_RESERVE_MS = 300;

/** Event loop and accept delays from this length on are logged, because they use up callers' time limits. */
const MIN_LOGGED_DELAY_MS = 100;

/** What the head of a request decides: its route and organisation, or that it is refused. */
type HeadDecision =
  | Extract<decisions.EntryDecision, {kind: 'granted'}>
  | Extract<flows.EntryResult, {kind: 'failed'}>;

/** Options of the entry service. */
export interface EntryOptions {
  readonly address: entry.SocketAddress;
  readonly bounds: entry.EntryBounds;
  readonly admission: entry.AdmissionPolicy;
  readonly codec: codecs.WireCodec;

  /** Seed of the random choice of the requests that are rejected under load. */
  readonly seed: number;

  /** Bounds what the listeners of the process hold. */
  readonly memory?: httpService.AnswerMemory;

  /** The most memory in bytes that the bodies of requests may take together. */
  readonly maxHeldBodyBytes: number;
}

/** Owns the listener for callers: admits requests, has them run by upstreams and writes the answers. */
export class EntryTask extends base.ServiceTask<messages.EntryMessage> {
  private readonly options: EntryOptions;
  private readonly listener: httpService.HttpListener;
  private readonly acceptQueueMonitor: httpService.AcceptQueueMonitor;
  private readonly shedder: shedders.LoadShedder;
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
  private readonly exchanges = new Set<exchanges.CallerExchange>();
  private readonly readBarrier = new httpService.ReadBarrier();
  private readonly bodyMemory: httpService.BodyMemory;
  private loopDelayMonitor: delays.LoopDelayMonitor | undefined;
  private entryIndex: decisions.EntryIndex | undefined;
  private configuration: entry.EntryConfiguration | undefined;
  private membersView: membersService.MembersChanged | undefined;
  private flow: flows.EntryFlow | undefined;
  private hasUpstreams = false;
  private lifecycle: decisions.Lifecycle = {kind: 'running'};
  private stoppingSinceMs: number | undefined;

  /** @param options The callers' listen address, their codec and the bounds of the process. */
  constructor(options: EntryOptions) {
    super();
    this.options = options;
    this.bodyMemory = new httpService.BodyMemory(
      'request',
      options.maxHeldBodyBytes,
    );
    this.shedder = new shedders.LoadShedder(
      () => this.nowMs(),
      new base.RandomSource(options.seed),
    );
    this.listener = new httpService.HttpListener(
      options.address,
      httpService.toRequestListener(
        (request, response) => this.handleRequest(request, response),
        error => this.log('error', 'handlerFailed', {message: error.message}),
      ),
      options.memory,
    );
    this.acceptQueueMonitor = new httpService.AcceptQueueMonitor(
      this.listener,
      () => this.nowMs(),
      () => this.getEarliestArrivalMs(),
    );
    this.listener.onConnection(() => {
      this.count('connections_accepted');
      this.observe('accept_wait_ms', this.acceptQueueMonitor.waitMs);
    });
  }

  protected override async onStart(): Promise<void> {
    this.flow = new flows.EntryFlow(this.getContext().services, this.shedder);
    this.loopDelayMonitor = new delays.LoopDelayMonitor(this.nowMs());
    this.postEvery(delays.LOOP_TICK_INTERVAL_MS, {kind: 'tick'});
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

  /** Announces the stop to the other members, accepts callers for a while longer, finishes requests and closes. */
  protected override async onStop(): Promise<void> {
    const {gracePeriodMs} = this.options.bounds;
    // The signal may have arrived while the event loop was late.
    const sinceMs = this.getEarliestArrivalMs();
    const getTimeBeforeEndMs = (reserveMs: number) =>
      sinceMs + Math.max(0, gracePeriodMs - reserveMs);
    const lastDeadlineMs = getTimeBeforeEndMs(DEADLINE_RESERVE_MS);
    const steersAwayUntilMs = Math.min(
      sinceMs + DEREGISTRATION_DELAY_MS,
      lastDeadlineMs,
    );
    this.stoppingSinceMs = sinceMs;
    this.lifecycle = {kind: 'stopping', steersAwayUntilMs, lastDeadlineMs};
    this.getService(membersService.MEMBERS).post({kind: 'leave'});
    await this.waitUntil(steersAwayUntilMs);
    // No new connections are accepted from here on, so that all requests in progress can finish.
    this.acceptQueueMonitor.close();
    const closed = this.listener.close();
    const cutOffAtMs = getTimeBeforeEndMs(CUT_OFF_RESERVE_MS);
    await Promise.race([closed, this.waitUntil(cutOffAtMs)]);
    // Answers that arrived while the event loop was late are read first.
    await this.readBarrier.wait();
    for (const exchange of this.exchanges) exchange.cutOff();
    const closedConnections = await this.listener.closeWithin(
      getTimeBeforeEndMs(CLOSE_RESERVE_MS) - this.nowMs(),
    );
    this.log('info', 'connectionsClosed', {...closedConnections});
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
        this.membersView = message;
        return;
      case 'tick':
        this.recordDelays();
        return;
      case 'isReady':
        message.reply(this.isReady());
        return;
      case 'steer':
        message.reply(
          decisions.chooseEntryVms(
            this.membersView?.servingMembers ?? [],
            message.location,
            message.drawFraction,
          ),
        );
        return;
      default:
        errors.throwUnreachable(message);
    }
  }

  private get isLeaving(): boolean {
    return this.lifecycle.kind === 'stopping';
  }

  /** Gets the earliest monotonic time in milliseconds at which data that is read now may have arrived. */
  private getEarliestArrivalMs(): number {
    const nowMs = this.nowMs();
    return this.loopDelayMonitor?.getEarliestArrivalMs(nowMs) ?? nowMs;
  }

  /** Records the event loop delay and logs reduced admission, slow accepting and a late event loop. */
  private recordDelays(): void {
    const acceptWaitMs = this.acceptQueueMonitor.waitMs;
    if (this.shedder.takenPart < 1)
      this.log('warn', 'intakeReduced', {
        takenPart: this.shedder.takenPart.toFixed(2),
      });
    if (acceptWaitMs >= MIN_LOGGED_DELAY_MS)
      this.log('warn', 'acceptDelayed', {waitMs: Math.round(acceptWaitMs)});
    const delayMs = this.loopDelayMonitor?.recordTick(this.nowMs()) ?? 0;
    this.observe('loop_delay_ms', delayMs);
    if (delayMs >= MIN_LOGGED_DELAY_MS)
      this.log('warn', 'loopDelayed', {delayMs: Math.round(delayMs)});
  }

  private isReady(): boolean {
    return (
      this.configuration !== undefined && this.hasUpstreams && !this.isLeaving
    );
  }

  private setOperatorRows(message: knowledgeService.OperatorRowsChanged): void {
    const {configuration} = message.rows;
    const {freshUntilMs} = message;
    if (configuration === this.configuration && this.entryIndex !== undefined) {
      this.entryIndex = {...this.entryIndex, freshUntilMs};
      return;
    }
    this.configuration = configuration;
    this.shedder.setConfiguration(this.options.admission, configuration);
    this.listener.setCallerLimits(
      configuration.callerLimits.idleTimeoutMs,
      configuration.callerLimits.headerTimeoutMs,
    );
    this.entryIndex = {
      routes: new decisions.RouteIndex(configuration.routes),
      organisationsByKey: new Map(
        configuration.organisations.flatMap(organisation =>
          organisation.keys.map(key => [key, organisation] as const),
        ),
      ),
      hasOrganisations: configuration.hasOrganisations,
      freshUntilMs,
    };
  }

  private async handleRequest(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const readAtMs = this.nowMs();
    const arrivedAtMs = Math.min(
      this.getEarliestArrivalMs(),
      this.acceptQueueMonitor.takeFirstArrivalMs(incoming.socket) ?? Infinity,
    );
    const connection = this.connections.get(incoming.socket);
    const envelope = this.options.codec.decodeRequest(incoming.rawHeaders);
    const exchange = new exchanges.CallerExchange(connection, response, () =>
      this.recordUnsent(envelope.requestId, response),
    );
    const head: entry.EntryRequestHead = {
      requestId: envelope.requestId,
      method: incoming.method ?? 'GET',
      host: incoming.headers.host ?? '',
      target: httpService.getRequestTarget(incoming),
      headers: envelope.headers,
      key: envelope.key,
      objectKey: envelope.objectKey,
      arrivedAtMs,
      readAtMs,
      callerDeadlineMs:
        arrivedAtMs + (envelope.remainingMs ?? DEFAULT_CALLER_TIMEOUT_MS),
    };
    this.exchanges.add(exchange);
    try {
      const result = await this.readAndRun(incoming, response, head, exchange);
      this.writeResult(exchange, head, result);
    } catch (thrown) {
      const error = errors.toError(thrown);
      this.writeFailure(exchange, head, {
        kind: 'failed',
        error: error.kind,
        message: error.message,
        phase: 'reading',
        retryAtMs:
          error.kind === 'overloaded'
            ? this.shedder.getRetryAtMs(head.callerDeadlineMs)
            : undefined,
      });
    } finally {
      this.exchanges.delete(exchange);
    }
    this.observe('request_ms', this.nowMs() - arrivedAtMs);
    this.recordUndelivered(exchange, head.requestId);
  }

  /** Reads the body of a request, unless the head is enough to refuse it, and runs the request. */
  private async readAndRun(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
    head: entry.EntryRequestHead,
    {abandoned}: exchanges.CallerExchange,
  ): Promise<flows.EntryResult> {
    const decision = this.decide(head);
    if (decision.kind === 'failed') {
      await Promise.race([
        this.waitForReading(head.arrivedAtMs),
        httpService.discardBody(incoming),
      ]);
      return decision;
    }
    const startedAtMs = this.nowMs();
    const deadlineMs = flows.getDeadlineMs(head, decision.route);
    const body = httpService.hasBody(incoming)
      ? await this.readBody(incoming, response, deadlineMs)
      : httpService.EMPTY_REQUEST_BODY;
    try {
      // The time that the caller took to send the body is no sign of load on this VM.
      const bodyMs = this.nowMs() - startedAtMs;
      await this.waitForReading(head.arrivedAtMs + bodyMs);
      return await this.runRequest({...head, body: body.bytes}, abandoned);
    } finally {
      body.release();
    }
  }

  /** Waits until a disconnect of the caller would be known, and records the age of a request that has been read. */
  private async waitForReading(arrivedAtMs: number): Promise<void> {
    await this.readBarrier.wait();
    this.shedder.recordRequestAge(arrivedAtMs);
  }

  /** Reads a request's body until the monotonic time `deadlineMs`. */
  private async readBody(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
    deadlineMs: number,
  ): Promise<httpService.RequestBody> {
    const timeout = new httpService.ReadTimeout(deadlineMs - this.nowMs());
    try {
      return await httpService.readBody(incoming, response, {
        maxBytes:
          this.configuration?.callerLimits.maxBodyBytes ??
          httpService.MAX_BODY_BYTES,
        memory: this.bodyMemory,
        expirySignal: timeout.signal,
      });
    } finally {
      timeout.cancel();
    }
  }

  /** Records how long a request was processed after its caller disconnected. */
  private recordUndelivered(
    {disconnectedAtMs}: exchanges.CallerExchange,
    requestId: string,
  ): void {
    if (disconnectedAtMs === undefined) return;
    const sinceLeftMs = this.nowMs() - disconnectedAtMs;
    this.count('answers_undelivered');
    this.observe('after_departure_ms', sinceLeftMs);
    this.log('info', 'answerUndelivered', {
      request: requestId,
      sinceLeftMs: Math.round(sinceLeftMs),
    });
  }

  /** Decides by its head whether a request is admitted now. */
  private decide(head: entry.EntryRequestHead): HeadDecision {
    if (this.entryIndex === undefined)
      return {
        kind: 'failed',
        error: 'notFresh',
        message: 'no configuration is known yet',
        phase: 'reading',
        retryAtMs: this.nowMs() + UNREADY_RETRY_DELAY_MS,
      };
    const decision = decisions.decideEntry(this.entryIndex, head, this.nowMs());
    if (decision.kind === 'refused')
      return {
        kind: 'failed',
        error: decision.error,
        message: decision.message,
        phase: 'reading',
        retryAtMs: this.nowMs() + UNREADY_RETRY_DELAY_MS,
      };
    const {execution} = decision.route;
    const deadlineMs = flows.getDeadlineMs(head, decision.route);
    const isAdmitted = decisions.isAdmittedWhileStopping(
      this.lifecycle,
      {execution, deadlineMs},
      this.nowMs(),
    );
    if (!isAdmitted)
      return {
        kind: 'failed',
        error: 'stopping',
        message: 'this VM stops before the request is certain to be answered',
        phase: 'reading',
        // Other VMs serve already now.
        retryAtMs: this.nowMs(),
      };
    return decision;
  }

  private async runRequest(
    request: entry.EntryRequest,
    abandoned: AbortSignal,
  ): Promise<flows.EntryResult> {
    if (this.flow === undefined) throw new Error('the task has not started');
    // The configuration may have changed, or a stop may have begun, while the body was read.
    const decision = this.decide(request);
    if (decision.kind === 'failed') return decision;
    const {route, organisation} = decision;
    return await this.flow.run({request, route, organisation, abandoned});
  }

  private writeResult(
    exchange: exchanges.CallerExchange,
    head: entry.EntryRequestHead,
    result: flows.EntryResult,
  ): void {
    switch (result.kind) {
      case 'answered': {
        const {answer} = result;
        this.count('requests_answered');
        this.log('debug', 'requestServed', () => ({
          request: head.requestId,
          upstream: answer.upstreamId,
          status: answer.httpStatus,
          tookMs: Math.round(this.nowMs() - head.arrivedAtMs),
        }));
        this.writeAnswer(exchange, head, answer);
        return;
      }
      case 'abandoned':
        this.count('requests_abandoned');
        this.log('info', 'requestAbandoned', {
          request: head.requestId,
          ...this.getEndFields(exchange, head, result.phase),
        });
        if (exchange.isCutOff)
          this.writeFailure(
            exchange,
            head,
            getCutOffFailure(result, this.nowMs()),
          );
        return;
      case 'failed':
        this.writeFailure(exchange, head, result);
        return;
      default:
        errors.throwUnreachable(result);
    }
  }

  /** Writes an answer, delimited as the upstream delimited it: by its length or by closing the connection. */
  private writeAnswer(
    exchange: exchanges.CallerExchange,
    head: entry.EntryRequestHead,
    answer: entry.EntryAnswer,
  ): void {
    const {httpStatus, headers, body} = answer;
    switch (answer.framing) {
      case 'length':
        exchange.send(httpStatus, headers, body, this.isLeaving);
        return;
      case 'connection':
        if (!exchange.isLastRequest)
          // Closing the connection would drop the answers of requests behind it that have run or are running.
          this.writeFailure(exchange, head, {
            kind: 'failed',
            error: 'upstreamFailed',
            message: `${answer.upstreamId} gave an answer without a length`,
            phase: 'receivingAnswer',
            retryAtMs: undefined,
          });
        else exchange.sendCloseDelimited(answer);
        return;
      default:
        errors.throwUnreachable(answer.framing);
    }
  }

  private writeFailure(
    exchange: exchanges.CallerExchange,
    head: entry.EntryRequestHead,
    failure: Extract<flows.EntryResult, {kind: 'failed'}>,
  ): void {
    const {error, message, phase, retryAtMs} = failure;
    const {isNotRun, httpStatus} = errors.ERROR_ANSWERS[error];
    this.count(isNotRun ? 'requests_refused' : 'requests_failed');
    if (error === 'rateLimited') this.count('requests_refused_rate');
    if (error === 'overloaded') this.count('requests_refused_load');
    const waitMs =
      retryAtMs === undefined
        ? undefined
        : Math.max(0, retryAtMs - this.nowMs());
    this.log('info', isNotRun ? 'requestRefused' : 'requestFailed', {
      request: head.requestId,
      error,
      message,
      version: this.configuration?.version ?? 0,
      freshForMs: Math.round(
        Math.max(0, (this.entryIndex?.freshUntilMs ?? 0) - this.nowMs()),
      ),
      ...this.getEndFields(exchange, head, phase),
      ...(waitMs === undefined ? {} : {retryAfterMs: Math.round(waitMs)}),
    });
    const headers =
      isNotRun && waitMs !== undefined
        ? ['retry-after', (waitMs / 1000).toFixed(3)]
        : [];
    // After a timeout, the rest of the body may never come.
    const shouldClose = this.isLeaving || error === 'requestTimedOut';
    exchange.send(httpStatus, headers, EMPTY_BODY, shouldClose);
  }

  private getEndFields(
    exchange: exchanges.CallerExchange,
    head: entry.EntryRequestHead,
    phase: entry.RequestPhase,
  ): logs.LogFields {
    const {stoppingSinceMs} = this;
    return ends.getEndFields(
      {head, exchange, phase, stoppingSinceMs},
      this.nowMs(),
    );
  }

  /** Records an answer that was written, but not sent before its connection closed. */
  private recordUnsent(requestId: string, response: http.ServerResponse): void {
    const {stoppingSinceMs} = this;
    this.count('answers_unsent');
    this.log('info', 'answerUnsent', {
      request: requestId,
      status: response.statusCode,
      ...(stoppingSinceMs === undefined
        ? {}
        : {sinceStopMs: Math.round(this.nowMs() - stoppingSinceMs)}),
    });
  }

  private waitUntil(atMs: number): Promise<void> {
    return new Promise(resolve => {
      const delayMs = Math.max(0, atMs - this.nowMs());
      this.getContext().timers.after(delayMs, resolve);
    });
  }
}

const EMPTY_BODY = new Uint8Array();

/** Gets the failure of a request that is still in progress near the end of the grace period. */
function getCutOffFailure(
  {phase, mayHaveRun}: Extract<flows.EntryResult, {kind: 'abandoned'}>,
  nowMs: number,
): Extract<flows.EntryResult, {kind: 'failed'}> {
  const failure = {
    kind: 'failed',
    message: 'this VM stops before the request is answered',
    phase,
  } as const;
  return mayHaveRun
    ? {...failure, error: 'upstreamFailed', retryAtMs: undefined}
    : {...failure, error: 'stopping', retryAtMs: nowMs};
}
