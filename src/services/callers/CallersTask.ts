import * as crypto from 'node:crypto';
import type * as http from 'node:http';
import * as h3 from 'h3';
import * as codecs from '../../codecs/index.js';
import * as decisions from '../../decisions/index.js';
import * as configurations from '../../model/configuration/index.js';
import * as errors from '../../model/errors/index.js';
import type * as operators from '../../model/operators/index.js';
import type * as requests from '../../model/requests/index.js';
import * as base from '../base/index.js';
import * as configurationService from '../configuration/ConfigurationMessage.js';
import * as fleetService from '../fleet/FleetMessage.js';
import * as fleetViews from '../fleet/FleetView.js';
import * as httpService from '../http/index.js';
import type * as messages from './CallersMessage.js';
import * as exchanges from './PipelinedExchange.js';
import * as refusals from './RefusalLog.js';
import * as flows from './RequestFlow.js';
import type * as previews from './RequestPreview.js';
import * as previewers from './RequestPreviewer.js';
import * as resolvers from './SteeringResolver.js';
import * as writers from './writeAnswer.js';

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;
const EMPTY_BODY = Buffer.alloc(0);

/**
 * Time in milliseconds for which a stopping process still serves callers. It exceeds the lifetime of a steering answer,
 * so that callers which received this VM in an earlier steering answer can still use it.
 */
const DRAIN_DURATION_MS = decisions.STEERING_ANSWER_TTL_MS + 500;

/** How long a stop waits, after the time limits of all requests, for callers to receive their answers. */
const SENDING_TIMEOUT_MS = 30_000;

const STEERING_PATH = '/-/steer';
const HEALTH_PATH = '/-/health';

/** Owns the callers' listener: returns steering answers, forwards requests to upstreams and returns their responses. */
export class CallersTask extends base.ServiceTask<messages.CallersMessage> {
  private readonly listener: httpService.HttpListener;
  private readonly steeringResolver = new resolvers.SteeringResolver();
  private readonly refusals = new refusals.RefusalLog();
  private readonly callerConnections = new httpService.CallerConnections(
    () => this.nowMs(),
    ({unansweredCount, answeredCount}) => {
      this.count('callers_left');
      this.log('info', 'callerLeft', {
        unanswered: unansweredCount,
        answered: answeredCount,
      });
    },
  );
  private readonly readBarrier = new httpService.ReadBarrier();
  private readonly bodyMemory: httpService.BodyMemory;
  private readonly keys = new Map<string, configurations.Key>();
  private configuration: configurations.Configuration =
    configurations.EMPTY_CONFIGURATION;
  private fleetView: fleetViews.FleetView | undefined;
  private requestFlow: flows.RequestFlow | undefined;
  private isStopping = false;
  private closed: Promise<void> | undefined;

  /**
   * @param address The address on which the callers' listener accepts connections.
   * @param memory Bounds what the listeners of the process hold.
   * @param maxHeldBodyBytes The most memory in bytes that the bodies of requests may take together.
   */
  constructor(
    address: codecs.ListenAddress,
    memory: httpService.AnswerMemory,
    maxHeldBodyBytes: number,
  ) {
    super();
    this.bodyMemory = new httpService.BodyMemory('request', maxHeldBodyBytes);
    const app = new h3.H3();
    app.get(
      STEERING_PATH,
      h3.fromNodeHandler((request, response) =>
        this.handleSteer(
          request as http.IncomingMessage,
          response as http.ServerResponse,
        ),
      ),
    );
    app.post(
      STEERING_PATH,
      h3.fromNodeHandler((request, response) =>
        this.handleSteerBatch(
          request as http.IncomingMessage,
          response as http.ServerResponse,
        ),
      ),
    );
    app.get(
      HEALTH_PATH,
      h3.fromNodeHandler((request, response) =>
        this.handleHealth(
          request as http.IncomingMessage,
          response as http.ServerResponse,
        ),
      ),
    );
    const answerApi = h3.toNodeHandler(app);
    const answerRequest = httpService.toRequestListener(
      (request, response) => this.handleRequest(request, response),
      error => this.log('error', 'handlerFailed', {message: error.message}),
    );
    this.listener = new httpService.HttpListener(
      address,
      (request, response) => {
        if (isApiRequest(request)) answerApi(request, response);
        else answerRequest(request, response);
      },
      memory,
    );
  }

  protected override async onStart(): Promise<void> {
    const {services} = this.getContext();
    this.requestFlow = new flows.RequestFlow(this.getContext());
    const subscriber = this.getAddress();
    services
      .getOrThrow(configurationService.CONFIGURATION)
      .post({kind: 'subscribe', subscriber});
    services
      .getOrThrow(fleetService.FLEET)
      .post({kind: 'subscribe', subscriber});
    await this.listener.open();
  }

  protected override async onStop(): Promise<void> {
    this.isStopping = true;
    await this.closeListener();
  }

  protected override receive(message: messages.CallersMessage): void {
    switch (message.kind) {
      case 'configurationChanged':
        this.setConfiguration(message.configuration);
        return;
      case 'fleetChanged':
        this.fleetView = message.view;
        this.steeringResolver.setFleetView(message.view);
        return;
      case 'getAddress':
        message.reply(this.listener.getAddress());
        return;
      case 'steer':
        message.reply(
          this.steer(message.clientAddress, message.organisationId),
        );
        return;
      case 'explain':
        message.reply(this.refusals.get(message.organisationId));
        return;
      case 'preview':
        void this.preview(message.request).then(message.reply);
        return;
      case 'drain':
        this.isStopping = true;
        this.getContext().timers.after(
          DRAIN_DURATION_MS,
          () => void this.closeListener().then(message.reply),
        );
        return;
      default:
        errors.throwUnreachable(message);
    }
  }

  /** Accepts no more connections and closes each one once its requests are answered; repeated calls share one result. */
  private closeListener(): Promise<void> {
    this.closed ??= this.closeConnections();
    return this.closed;
  }

  private async closeConnections(): Promise<void> {
    const routes = Object.values(this.configuration.document.routes);
    const longestBudgetMs = Math.max(0, ...routes.map(route => route.budgetMs));
    const cutOff = await this.listener.closeWithin(
      longestBudgetMs + SENDING_TIMEOUT_MS,
    );
    this.log('info', 'connectionsClosed', {...cutOff});
  }

  private setConfiguration(configuration: configurations.Configuration): void {
    const {document} = configuration;
    this.configuration = configuration;
    this.keys.clear();
    for (const keyId in document.keys) {
      const key = document.keys[keyId];
      this.keys.set(key.digestSha256Hex, key);
    }
    this.steeringResolver.setDocument(document);
  }

  private async handleHealth(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const exchange = this.beginExchange(incoming, response);
    await this.readBarrier.wait();
    const isFresh = fleetViews.isFresh(this.fleetView, this.getContext().clock);
    const configurationVersion = this.configuration.version;
    const slotCount = this.fleetView?.controlledSlots.length ?? 0;
    exchange.beginAnswer(this.isStopping);
    writers.writeJson(response, isFresh ? HTTP_OK : HTTP_UNAVAILABLE, {
      isFresh,
      configurationVersion,
      slotCount,
    });
    exchange.end();
  }

  private async handleSteer(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const exchange = this.beginExchange(incoming, response);
    await this.readBarrier.wait();
    const clientAddress = getClientAddress(incoming);
    const answer = this.steer(clientAddress, this.getOrganisationId(incoming));
    this.count('steering_answers');
    exchange.beginAnswer(this.isStopping);
    writers.writeJson(response, HTTP_OK, answer);
    exchange.end();
  }

  /** Returns one steering answer for each caller address in the request body, in the same order. */
  private async handleSteerBatch(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const exchange = this.beginExchange(incoming, response);
    try {
      const {bytes, release} = await httpService.readBody(incoming, response, {
        maxBytes: httpService.MAX_BODY_BYTES,
        memory: this.bodyMemory,
      });
      release();
      await this.readBarrier.wait();
      const {addresses} = codecs.parseJsonOrThrow(
        codecs.steeringBatchSchema,
        bytes.toString('utf8'),
        'invalidRequest',
      );
      const organisationId = this.getOrganisationId(incoming);
      const answers = addresses.map(address =>
        this.steer(address, organisationId),
      );
      this.count('steering_answers');
      exchange.beginAnswer(this.isStopping);
      writers.writeJson(response, HTTP_OK, {answers});
    } catch (thrown) {
      exchange.beginAnswer(this.isStopping);
      this.sendError(response, crypto.randomUUID(), errors.toError(thrown));
    }
    exchange.end();
  }

  /** Gets the id of the organisation that owns the API key of a request; an empty string when there is no valid key. */
  private getOrganisationId(request: http.IncomingMessage): string {
    const key = getBearerToken(request);
    if (key === '') return '';
    const digest = codecs.getTextDigestHex(key);
    return this.keys.get(digest)?.organisationId ?? '';
  }

  private steer(
    clientAddress: string,
    organisationId: string,
  ): decisions.SteeringAnswer {
    const nowMs = this.getContext().clock.wallMs();
    if (this.fleetView === undefined) return {choices: [], expiresAtMs: nowMs};
    const {region} = this.fleetView.self;
    return this.steeringResolver.steer(
      region,
      clientAddress,
      organisationId,
      nowMs,
    );
  }

  private async handleRequest(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const startedAtMs = this.nowMs();
    const requestId = crypto.randomUUID();
    const exchange = this.beginExchange(incoming, response);
    try {
      const result = await this.readAndRun(
        incoming,
        response,
        requestId,
        exchange.abandoned,
      );
      exchange.beginAnswer(this.isStopping);
      await this.writeResult(response, incoming, requestId, result);
    } catch (thrown) {
      exchange.beginAnswer(this.isStopping);
      this.sendError(response, requestId, errors.toError(thrown));
    }
    exchange.end();
    this.observe('request_ms', this.nowMs() - startedAtMs);
  }

  private beginExchange(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
  ): exchanges.PipelinedExchange {
    const connection = this.callerConnections.get(incoming.socket);
    return new exchanges.PipelinedExchange(connection, response);
  }

  /** Reads the body of a request, unless the head is enough to refuse it, and runs the request. */
  private async readAndRun(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
    requestId: string,
    abandoned: AbortSignal,
  ): Promise<flows.FlowResult> {
    const head = getRequestHead(incoming, requestId);
    const access = this.decideAccess(
      codecs.decodeCallerRequest({...head, body: EMPTY_BODY}),
    );
    if (access.kind === 'refused') {
      await Promise.race([
        this.readBarrier.wait(),
        httpService.discardBody(incoming),
      ]);
      return createRefusal(access);
    }
    const body = await httpService.readBody(incoming, response, {
      maxBytes: httpService.MAX_BODY_BYTES,
      memory: this.bodyMemory,
    });
    try {
      await this.readBarrier.wait();
      return await this.runRequest(
        codecs.decodeCallerRequest({...head, body: body.bytes}),
        abandoned,
      );
    } finally {
      body.release();
    }
  }

  private async runRequest(
    request: requests.CallerRequest,
    abandoned: AbortSignal,
  ): Promise<flows.FlowResult> {
    // The configuration may have changed while the body was read.
    const access = this.decideAccess(request);
    if (access.kind === 'refused') return createRefusal(access);
    if (this.requestFlow === undefined)
      throw new Error('the task has not started');
    const result = await this.requestFlow.run({request, access, abandoned});
    if (result.kind === 'failed')
      this.recordRefusal(access, request.requestId, result.error);
    return result;
  }

  private async preview(
    request: operators.PreviewedRequest,
  ): Promise<previews.RequestPreview> {
    const access = this.decideDigestAccess(request);
    const previewer = new previewers.RequestPreviewer(this.getContext());
    return {
      vmId: this.fleetView?.self.vmId ?? '',
      region: this.fleetView?.self.region ?? '',
      configurationVersion: this.configuration.version,
      ...(await previewer.preview(request, access)),
    };
  }

  private decideAccess(
    request: requests.CallerRequest,
  ): decisions.AccessDecision {
    return this.decideDigestAccess({
      target: request.target,
      keyDigestHex:
        request.key === '' ? '' : codecs.getTextDigestHex(request.key),
      hasIdempotencyKey: request.idempotencyKey !== '',
    });
  }

  private decideDigestAccess({
    target,
    keyDigestHex,
    hasIdempotencyKey,
  }: Omit<decisions.AccessRequest, 'freshUntilMs'>): decisions.AccessDecision {
    const {clock} = this.getContext();
    const accessRequest: decisions.AccessRequest = {
      target,
      keyDigestHex,
      hasIdempotencyKey,
      freshUntilMs: fleetViews.isFresh(this.fleetView, clock)
        ? (this.fleetView?.freshUntilMs ?? 0)
        : -Infinity,
    };
    return decisions.decideAccess(
      this.configuration.document,
      this.keys,
      accessRequest,
      clock.monotonicMs(),
    );
  }

  private recordRefusal(
    access: Exclude<decisions.AccessDecision, {kind: 'refused'}>,
    requestId: string,
    error: errors.BramleyrunError,
  ): void {
    const organisationId = access.kind === 'keyed' ? access.organisationId : '';
    const nowMs = this.getContext().clock.wallMs();
    this.refusals.add(organisationId, requestId, error, nowMs);
    if (error.kind === 'rateLimited') this.count('requests_refused_rate');
  }

  private async writeResult(
    response: http.ServerResponse,
    incoming: http.IncomingMessage,
    requestId: string,
    result: flows.FlowResult,
  ): Promise<void> {
    switch (result.kind) {
      case 'answered': {
        const isHead = incoming.method === 'HEAD';
        await writers.writeAnswer(response, requestId, isHead, result.answer);
        this.count('requests_answered');
        return;
      }
      case 'replayed':
        writers.writeStoredAnswer(response, requestId, result.answer);
        this.count('requests_answered');
        return;
      case 'failed':
        this.sendError(response, requestId, result.error);
        return;
      default:
        errors.throwUnreachable(result);
    }
  }

  private sendError(
    response: http.ServerResponse,
    requestId: string,
    error: errors.BramleyrunError,
  ): void {
    const {isNotRun} = errors.ERROR_ANSWERS[error.kind];
    this.count(isNotRun ? 'requests_refused' : 'requests_failed');
    const nowMs = this.getContext().clock.wallMs();
    writers.writeError(response, requestId, error, nowMs);
    this.log('debug', 'requestRefused', {
      request: requestId,
      error: error.kind,
    });
  }
}

/** Whether the daemon answers a request itself. */
function isApiRequest(request: http.IncomingMessage): boolean {
  const [path] = httpService.getRequestTarget(request).split('?', 1);
  return path === STEERING_PATH || path === HEALTH_PATH;
}

function getRequestHead(
  incoming: http.IncomingMessage,
  requestId: string,
): Omit<codecs.HttpRequestParts, 'body'> {
  return {
    requestId,
    method: incoming.method ?? 'GET',
    target: httpService.getRequestTarget(incoming),
    rawHeaders: incoming.rawHeaders,
  };
}

function createRefusal(
  access: Extract<decisions.AccessDecision, {kind: 'refused'}>,
): flows.FlowResult {
  return {
    kind: 'failed',
    error: errors.createError(access.error, access.message),
  };
}

function getClientAddress(request: http.IncomingMessage): string {
  const url = new URL(request.url ?? '/', 'http://bramleyrun');
  return url.searchParams.get('address') ?? request.socket.remoteAddress ?? '';
}

function getBearerToken(request: http.IncomingMessage): string {
  const authorization = request.headers.authorization ?? '';
  return authorization.replace(/^bearer\s+/i, '');
}
