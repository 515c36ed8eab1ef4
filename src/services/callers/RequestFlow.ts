import * as codecs from '../../codecs/index.js';
import * as decisions from '../../decisions/index.js';
import type * as kernel from '../../kernel/index.js';
import * as errors from '../../model/errors/index.js';
import type * as operations from '../../model/operations/index.js';
import type * as requests from '../../model/requests/index.js';
import * as limitsService from '../limits/LimitsMessage.js';
import * as logs from '../logs/index.js';
import * as metrics from '../metrics/index.js';
import * as operationsService from '../operations/OperationsMessage.js';
import * as upstreamsService from '../upstreams/UpstreamsMessage.js';

/** How long in milliseconds a request waits for the decision of its organisation's home. */
const ADMISSION_TERM_MS = 1500;

/** Answers above this size are not kept for repeats. */
const MAX_STORED_BYTES = 262_144;

/** A request that access was granted to. */
export interface GrantedRequest {
  readonly request: requests.CallerRequest;
  readonly access: Extract<decisions.AccessDecision, {kind: 'open' | 'keyed'}>;

  /** Aborted when the caller has left. */
  readonly abandoned: AbortSignal;
}

/** What the caller gets. */
export type FlowResult =
  | {readonly kind: 'answered'; readonly answer: requests.UpstreamAnswer}
  | {readonly kind: 'replayed'; readonly answer: operations.StoredAnswer}
  | {readonly kind: 'failed'; readonly error: errors.BramleyrunError};

const NEVER_ABANDONED = new AbortController().signal;

/** Takes one request from its admission to its answer. It knows no wire form. */
export class RequestFlow {
  private readonly context: kernel.TaskContext;

  /** @param context Finds the services that the request passes. */
  constructor(context: kernel.TaskContext) {
    this.context = context;
  }

  /** Runs a request. */
  async run(granted: GrantedRequest): Promise<FlowResult> {
    const refusal = await this.admit(granted);
    if (refusal !== undefined) return {kind: 'failed', error: refusal};
    const deadlineMs =
      this.context.clock.wallMs() + granted.access.route.budgetMs;
    switch (granted.access.route.execution) {
      case 'idempotent':
        return await this.runIdempotent(granted, deadlineMs);
      case 'atMostOnce':
        return await this.runAtMostOnce(granted, deadlineMs);
      default:
        return errors.throwUnreachable(granted.access.route.execution);
    }
  }

  private async admit(
    granted: GrantedRequest,
  ): Promise<errors.BramleyrunError | undefined> {
    const {access} = granted;
    if (access.kind === 'open') return undefined;
    const {organisationId} = access;
    const {clock, services} = this.context;
    const startedAtMs = clock.monotonicMs();
    const deadlineMs = startedAtMs + ADMISSION_TERM_MS;
    const result = await services
      .getOrThrow(limitsService.LIMITS)
      .ask<limitsService.AdmissionResult>(reply => ({
        kind: 'admit',
        organisationId,
        deadlineMs,
        reply,
      }));
    this.observe('admission_ms', startedAtMs);
    switch (result.kind) {
      case 'granted':
        this.logAdmission(organisationId);
        return undefined;
      case 'refused': {
        const waitMs = Math.max(0, result.retryAtMs - clock.monotonicMs());
        return new errors.BramleyrunError(
          'rateLimited',
          'the organisation is over its rate and burst',
          '',
          Math.ceil(clock.wallMs() + waitMs),
        );
      }
      case 'unavailable':
        return errors.getError(
          'limitUnavailable',
          "nobody could say whether the organisation's rate allows it",
        );
      default:
        return errors.throwUnreachable(result);
    }
  }

  private observe(name: metrics.HistogramName, startedAtMs: number): void {
    const {clock, services} = this.context;
    const valueMs = clock.monotonicMs() - startedAtMs;
    services.getOrThrow(metrics.METRICS).post({kind: 'observe', name, valueMs});
  }

  private logAdmission(organisationId: string): void {
    const {clock, services} = this.context;
    services.getOrThrow(logs.LOG).post({
      kind: 'event',
      level: 'debug',
      name: 'requestAdmitted',
      fields: {organisation: organisationId, atMs: clock.wallMs()},
    });
  }

  private async runIdempotent(
    granted: GrantedRequest,
    deadlineMs: number,
  ): Promise<FlowResult> {
    const result = await this.dispatch(
      granted,
      deadlineMs,
      true,
      granted.abandoned,
    );
    return toFlowResult(result);
  }

  private async runAtMostOnce(
    granted: GrantedRequest,
    deadlineMs: number,
  ): Promise<FlowResult> {
    const {request} = granted;
    const attemptId = request.requestId;
    const operationsAddress = this.context.services.getOrThrow(
      operationsService.OPERATIONS,
    );
    const startedAtMs = this.context.clock.monotonicMs();
    const begun = await operationsAddress.ask<operationsService.BeginResult>(
      reply => ({
        kind: 'begin',
        request: getOperation(granted, deadlineMs),
        reply,
      }),
    );
    this.observe('claim_ms', startedAtMs);
    if (begun.kind === 'replay')
      return {kind: 'replayed', answer: begun.answer};
    if (begun.kind === 'refused') return fail(begun.error, begun.message);
    const mayDispatch = await operationsAddress.ask<boolean>(reply => ({
      kind: 'dispatch',
      attemptId,
      reply,
    }));
    if (!mayDispatch)
      return fail('stopping', 'the claim came too late to be used');
    const result = await this.dispatch(
      granted,
      deadlineMs,
      false,
      NEVER_ABANDONED,
    );
    const outcome = getOutcome(result);
    operationsAddress.post({kind: 'finish', attemptId, outcome});
    return toFlowResult(result);
  }

  private async dispatch(
    granted: GrantedRequest,
    deadlineMs: number,
    isIdempotent: boolean,
    abandoned: AbortSignal,
  ): Promise<upstreamsService.DispatchResult> {
    const {request, access} = granted;
    return await this.context.services
      .getOrThrow(upstreamsService.UPSTREAMS)
      .ask<upstreamsService.DispatchResult>(reply => ({
        kind: 'dispatch',
        dispatch: {
          serviceId: access.route.serviceId,
          organisationId: getOrganisationId(access),
          request,
          isIdempotent,
          deadlineMs,
          abandoned,
        },
        reply,
      }));
  }
}

function getOrganisationId(access: GrantedRequest['access']): string {
  return access.kind === 'keyed' ? access.organisationId : '';
}

function getOperation(
  granted: GrantedRequest,
  dispatchDeadlineMs: number,
): operationsService.OperationRequest {
  const {request, access} = granted;
  const organisationId = getOrganisationId(access);
  return {
    organisationId,
    keyDigestHex: codecs.getTextDigestHex(request.idempotencyKey),
    requestDigestHex: codecs.getRequestDigestHex(request, organisationId),
    attemptId: request.requestId,
    dispatchDeadlineMs,
  };
}

function getOutcome(
  result: upstreamsService.DispatchResult,
): decisions.DispatchOutcome {
  switch (result.kind) {
    case 'answered':
      return getAnsweredOutcome(result.answer);
    case 'notRun':
      return {kind: 'notRun'};
    case 'mayHaveRun':
      return {kind: 'unknown'};
    default:
      return errors.throwUnreachable(result);
  }
}

function getAnsweredOutcome(
  answer: requests.UpstreamAnswer,
): decisions.DispatchOutcome {
  const {body, headers, httpStatus} = answer;
  if (body.kind === 'stream' || body.bytes.length > MAX_STORED_BYTES)
    return {kind: 'unknown'};
  const contentType =
    headers.find(header => header.name === 'content-type')?.value ?? '';
  const bodyBase64 = Buffer.from(body.bytes).toString('base64');
  return {kind: 'answered', answer: {httpStatus, contentType, bodyBase64}};
}

function toFlowResult(result: upstreamsService.DispatchResult): FlowResult {
  switch (result.kind) {
    case 'answered':
      return result;
    case 'notRun':
    case 'mayHaveRun':
      return fail(result.error, result.message);
    default:
      return errors.throwUnreachable(result);
  }
}

function fail(kind: errors.ErrorKind, message: string): FlowResult {
  return {kind: 'failed', error: errors.getError(kind, message)};
}
