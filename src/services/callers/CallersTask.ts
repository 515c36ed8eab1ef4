import * as crypto from 'node:crypto';
import type * as http from 'node:http';
import * as h3 from 'h3';
import * as codecs from '../../codecs/index.js';
import * as decisions from '../../decisions/index.js';
import * as configurations from '../../model/configuration/index.js';
import * as errors from '../../model/errors/index.js';
import type * as requests from '../../model/requests/index.js';
import * as base from '../base/index.js';
import * as configurationService from '../configuration/ConfigurationMessage.js';
import * as fleetService from '../fleet/FleetMessage.js';
import * as fleetViews from '../fleet/FleetView.js';
import * as httpService from '../http/index.js';
import type * as messages from './CallersMessage.js';
import * as refusals from './RefusalLog.js';
import * as flows from './RequestFlow.js';
import * as resolvers from './SteeringResolver.js';
import * as writers from './writeAnswer.js';

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** How long in milliseconds callers that hold older steering answers are still served on a stop. */
const DRAIN_MS = decisions.STEERING_TERM_MS + 500;

/** Owns the callers' listener: steers callers, and takes their requests to upstreams and back. */
export class CallersTask extends base.ServiceTask<messages.CallersMessage> {
  private readonly listener: httpService.HttpListener;
  private readonly resolver = new resolvers.SteeringResolver();
  private readonly refusals = new refusals.RefusalLog();
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
  private readonly keys = new Map<string, configurations.Key>();
  private configuration: configurations.Configuration =
    configurations.EMPTY_CONFIGURATION;
  private view: fleetViews.FleetView | undefined;
  private flow: flows.RequestFlow | undefined;

  /** @param address Where callers come in. */
  constructor(address: codecs.ListenAddress) {
    super();
    const app = new h3.H3();
    app.get(
      '/-/steer',
      h3.fromNodeHandler((request, response) =>
        this.answerSteer(
          request as http.IncomingMessage,
          response as http.ServerResponse,
        ),
      ),
    );
    app.post(
      '/-/steer',
      h3.fromNodeHandler((request, response) =>
        this.answerSteerBatch(
          request as http.IncomingMessage,
          response as http.ServerResponse,
        ),
      ),
    );
    app.get('/-/health', event => this.getHealth(event));
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
      address,
      h3.toNodeHandler(app),
    );
  }

  protected override async onStart(): Promise<void> {
    const {services} = this.getContext();
    this.flow = new flows.RequestFlow(this.getContext());
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
    await this.listener.close();
  }

  protected override receive(message: messages.CallersMessage): void {
    switch (message.kind) {
      case 'configurationChanged':
        this.setConfiguration(message.configuration);
        return;
      case 'fleetChanged':
        this.view = message.view;
        this.resolver.setView(message.view);
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
      case 'drain':
        this.listener.startClosing();
        this.getContext().timers.after(
          DRAIN_MS,
          () => void this.listener.close().then(message.reply),
        );
        return;
      default:
        errors.throwUnreachable(message);
    }
  }

  private setConfiguration(configuration: configurations.Configuration): void {
    const {document} = configuration;
    this.configuration = configuration;
    this.keys.clear();
    for (const keyId in document.keys) {
      const key = document.keys[keyId];
      this.keys.set(key.digestSha256Hex, key);
    }
    this.resolver.update(document);
  }

  private getHealth(event: h3.H3Event): object {
    const isFresh = fleetViews.isFresh(this.view, this.getContext().clock);
    event.res.status = isFresh ? HTTP_OK : HTTP_UNAVAILABLE;
    const configurationVersion = this.configuration.version;
    const slotCount = this.view?.controlledSlots.length ?? 0;
    return {isFresh, configurationVersion, slotCount};
  }

  private answerSteer(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const clientAddress = getClientAddress(request);
    const answer = this.steer(clientAddress, this.getOrganisationId(request));
    this.count('steering_answers');
    response.writeHead(HTTP_OK, {'content-type': 'application/json'});
    response.end(JSON.stringify(answer));
  }

  /** Answers for many callers at once, in the order in which they are named. */
  private async answerSteerBatch(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    try {
      const body = await httpService.readBody(request);
      const {addresses} = codecs.parseJsonOrThrow(
        codecs.steeringBatchSchema,
        body.toString('utf8'),
        'invalidRequest',
      );
      const organisationId = this.getOrganisationId(request);
      const answers = addresses.map(address =>
        this.steer(address, organisationId),
      );
      this.count('steering_answers');
      response.writeHead(HTTP_OK, {'content-type': 'application/json'});
      response.end(JSON.stringify({answers}));
    } catch (thrown) {
      this.fail(response, crypto.randomUUID(), errors.toError(thrown));
    }
  }

  /** Gets the organisation whose key came with a request, or an empty string. */
  private getOrganisationId(request: http.IncomingMessage): string {
    const key = getBearer(request);
    if (key === '') return '';
    const digest = codecs.getTextDigestHex(key);
    return this.keys.get(digest)?.organisationId ?? '';
  }

  private steer(
    clientAddress: string,
    organisationId: string,
  ): decisions.SteeringAnswer {
    const nowMs = this.getContext().clock.wallMs();
    if (this.view === undefined) return {choices: [], expiresAtMs: nowMs};
    const {region} = this.view.self;
    return this.resolver.steer(region, clientAddress, organisationId, nowMs);
  }

  private async handle(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const startedAtMs = this.nowMs();
    const requestId = crypto.randomUUID();
    const connection = this.connections.get(incoming.socket);
    const caller = connection.addRequest();
    try {
      const request = await readRequest(incoming, requestId);
      await this.barrier.wait();
      const result = await this.run(request, caller.signal);
      await this.write(response, incoming, requestId, result);
    } catch (thrown) {
      this.fail(response, requestId, errors.toError(thrown));
    }
    connection.endRequest(caller);
    this.observe('request_ms', this.nowMs() - startedAtMs);
  }

  private async run(
    request: requests.CallerRequest,
    abandoned: AbortSignal,
  ): Promise<flows.FlowResult> {
    const access = this.decideAccess(request);
    if (access.kind === 'refused') {
      const error = errors.getError(access.error, access.message);
      return {kind: 'failed', error};
    }
    if (this.flow === undefined) throw new Error('the task has not started');
    const result = await this.flow.run({request, access, abandoned});
    if (result.kind === 'failed')
      this.noteRefusal(access, request.requestId, result.error);
    return result;
  }

  private decideAccess(
    request: requests.CallerRequest,
  ): decisions.AccessDecision {
    const {clock} = this.getContext();
    const question: decisions.AccessQuestion = {
      target: request.target,
      keyDigestHex:
        request.key === '' ? '' : codecs.getTextDigestHex(request.key),
      hasIdempotencyKey: request.idempotencyKey !== '',
      freshUntilMs: fleetViews.isFresh(this.view, clock)
        ? (this.view?.freshUntilMs ?? 0)
        : -Infinity,
    };
    return decisions.decideAccess(
      this.configuration.document,
      this.keys,
      question,
      clock.monotonicMs(),
    );
  }

  private noteRefusal(
    access: Exclude<decisions.AccessDecision, {kind: 'refused'}>,
    requestId: string,
    error: errors.BramleyrunError,
  ): void {
    const organisationId = access.kind === 'keyed' ? access.organisationId : '';
    const nowMs = this.getContext().clock.wallMs();
    this.refusals.add(organisationId, requestId, error, nowMs);
    if (error.kind === 'rateLimited') this.count('requests_refused_rate');
  }

  private async write(
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
        writers.writeStored(response, requestId, result.answer);
        this.count('requests_answered');
        return;
      case 'failed':
        this.fail(response, requestId, result.error);
        return;
      default:
        errors.throwUnreachable(result);
    }
  }

  private fail(
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

async function readRequest(
  incoming: http.IncomingMessage,
  requestId: string,
): Promise<requests.CallerRequest> {
  const body = await httpService.readBody(incoming);
  return codecs.decodeCallerRequest({
    requestId,
    method: incoming.method ?? 'GET',
    target: incoming.url ?? '/',
    rawHeaders: incoming.rawHeaders,
    body,
  });
}

function getClientAddress(request: http.IncomingMessage): string {
  const url = new URL(request.url ?? '/', 'http://bramleyrun');
  return url.searchParams.get('address') ?? request.socket.remoteAddress ?? '';
}

function getBearer(request: http.IncomingMessage): string {
  const authorization = request.headers.authorization ?? '';
  return authorization.replace(/^bearer\s+/i, '');
}
