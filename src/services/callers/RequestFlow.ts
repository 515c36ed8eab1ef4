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
import * as admissions from './getAdmissionError.js';

/**
 * Time in milliseconds for which a request waits for its admission decision. The organisation's home process, which
 * manages the organisation's rate limit, makes that decision.
 */
const ADMISSION_TIMEOUT_MS = 1500;

/** Larger answers are not stored, so a repeated at-most-once request cannot be answered with them. */
const MAX_STORED_ANSWER_BYTES = 262_144;

/** A request that passed the access check. */
export interface GrantedRequest {
  readonly request: requests.CallerRequest;
  readonly access: Extract<decisions.AccessDecision, {kind: 'open' | 'keyed'}>;

  /** Aborted when the caller closes its connection before the response is sent. */
  readonly abandoned: AbortSignal;
}

/** The result of a request: an answer from an upstream, a stored answer of an earlier attempt, or an error. */
export type FlowResult =
  | {readonly kind: 'answered'; readonly answer: requests.UpstreamAnswer}
  | {readonly kind: 'replayed'; readonly answer: operations.StoredAnswer}
  | {readonly kind: 'failed'; readonly error: errors.BramleyrunError};

/** Passed for at-most-once requests: their dispatch continues when the caller disconnects. */
const NEVER_ABORTED_SIGNAL = new AbortController().signal;

/** Processes requests from admission to answer. It is independent of the wire protocol. */
export class RequestFlow {
  private readonly context: kernel.TaskContext;

  /** @param context Gives access to the clock and to the other services. */
  constructor(context: kernel.TaskContext) {
    this.context = context;
  }

  /** Checks the rate limit of a request, dispatches it to an upstream and returns the result. */
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
    const deadlineMs = startedAtMs + ADMISSION_TIMEOUT_MS;
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
      case 'refused':
      case 'unavailable':
        return admissions.getAdmissionError(result, clock);
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
    const beginResult =
      await operationsAddress.ask<operationsService.BeginResult>(reply => ({
        kind: 'begin',
        request: createOperationRequest(granted, deadlineMs),
        reply,
      }));
    this.observe('claim_ms', startedAtMs);
    if (beginResult.kind === 'replay')
      return {kind: 'replayed', answer: beginResult.answer};
    if (beginResult.kind === 'refused')
      return createFailure(beginResult.error, beginResult.message);
    const mayDispatch = await operationsAddress.ask<boolean>(reply => ({
      kind: 'dispatch',
      attemptId,
      reply,
    }));
    if (!mayDispatch)
      return createFailure('stopping', 'the claim came too late to be used');
    const result = await this.dispatch(
      granted,
      deadlineMs,
      false,
      NEVER_ABORTED_SIGNAL,
    );
    const outcome = toDispatchOutcome(result);
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

function createOperationRequest(
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

function toDispatchOutcome(
  result: upstreamsService.DispatchResult,
): decisions.DispatchOutcome {
  switch (result.kind) {
    case 'answered':
      return toAnsweredOutcome(result.answer);
    case 'notRun':
      return {kind: 'notRun'};
    case 'mayHaveRun':
      return {kind: 'unknown'};
    default:
      return errors.throwUnreachable(result);
  }
}

function toAnsweredOutcome(
  answer: requests.UpstreamAnswer,
): decisions.DispatchOutcome {
  const {body, headers, httpStatus} = answer;
  if (body.kind === 'stream' || body.bytes.length > MAX_STORED_ANSWER_BYTES)
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
      return createFailure(result.error, result.message);
    default:
      return errors.throwUnreachable(result);
  }
}

function createFailure(kind: errors.ErrorKind, message: string): FlowResult {
  return {kind: 'failed', error: errors.createError(kind, message)};
}
