import * as decisions from '../../decisions/index.js';
import type * as kernel from '../../kernel/index.js';
import type * as entry from '../../model/entry/index.js';
import type * as errors from '../../model/errors/index.js';
import * as dispatchService from '../dispatch/DispatchMessage.js';
import * as sharesService from '../shares/SharesMessage.js';
import type * as shedders from './LoadShedder.js';

/** The outcome of a caller's request. */
export type EntryResult =
  | {readonly kind: 'answered'; readonly answer: entry.EntryAnswer}
  /** The caller disconnected, so that no answer is sent, or the request was cut off. */
  | {
      readonly kind: 'abandoned';
      readonly phase: entry.RequestPhase;

      /** Whether an upstream may have run the request. */
      readonly mayHaveRun: boolean;
    }
  | {
      readonly kind: 'failed';
      readonly error: errors.ErrorKind;
      readonly message: string;
      readonly phase: entry.RequestPhase;

      /** Earliest monotonic time in milliseconds at which the caller should retry; undefined when unknown. */
      readonly retryAtMs: number | undefined;
    };

/** A request that routing and authentication have granted, with its route and organisation. */
export interface GrantedEntry {
  readonly request: entry.EntryRequest;
  readonly route: entry.EntryRoute;
  readonly organisation: entry.EntryOrganisation | undefined;

  /** Aborted when the caller disconnects, and when the request is cut off. */
  readonly abandoned: AbortSignal;
}

/** Runs one request from admission to its answer, independently of the wire format. */
export class EntryFlow {
  private readonly dispatch: kernel.Address<dispatchService.DispatchMessage>;
  private readonly shares: kernel.Address<sharesService.SharesMessage>;
  private readonly shedder: shedders.LoadShedder;

  /**
   * @param services The directory in which the shares and dispatch services are looked up.
   * @param shedder Decides which requests are rejected under load.
   */
  constructor(
    services: kernel.ServiceDirectory,
    shedder: shedders.LoadShedder,
  ) {
    this.shedder = shedder;
    this.dispatch = services.getOrThrow(dispatchService.DISPATCH);
    this.shares = services.getOrThrow(sharesService.SHARES);
  }

  /** Applies the rate limit and load shedding to a granted request, then dispatches it to an upstream. */
  async run(granted: GrantedEntry): Promise<EntryResult> {
    const {request, route, organisation, abandoned} = granted;
    if (abandoned.aborted)
      return {kind: 'abandoned', phase: 'reading', mayHaveRun: false};
    if (organisation !== undefined) {
      const admission = await this.shares.ask<sharesService.ShareResult>(
        reply => ({
          kind: 'admit',
          organisationId: organisation.organisationId,
          abandoned,
          reply,
        }),
      );
      switch (admission.kind) {
        case 'granted':
          break;
        case 'abandoned':
          return {kind: 'abandoned', phase: 'awaitingToken', mayHaveRun: false};
        case 'refused':
          return {
            kind: 'failed',
            error: 'rateLimited',
            message: getRateLimitMessage(
              organisation.organisationId,
              admission,
            ),
            phase: 'awaitingToken',
            retryAtMs: admission.retryAtMs,
          };
      }
    }
    if (abandoned.aborted)
      return {kind: 'abandoned', phase: 'awaitingToken', mayHaveRun: false};
    // Load is shed after the rate limits, so that organisations over their limit don't crowd out the others.
    if (!this.shedder.shouldAdmit(decisions.getPriority(route, organisation)))
      return {
        kind: 'failed',
        error: 'overloaded',
        message: 'this VM is behind with its requests',
        phase: 'awaitingToken',
        retryAtMs: this.shedder.getRetryAtMs(request.callerDeadlineMs),
      };
    const deadlineMs = getDeadlineMs(request, route);
    const outcome = await this.dispatch.ask<dispatchService.DispatchOutcome>(
      reply => ({
        kind: 'dispatch',
        dispatch: {...granted, deadlineMs},
        reply,
      }),
    );
    switch (outcome.kind) {
      case 'answered':
      case 'abandoned':
        return outcome;
      case 'notRun': {
        const {error, message, phase, retryAtMs} = outcome;
        return {kind: 'failed', error, message, phase, retryAtMs};
      }
      case 'mayHaveRun': {
        const {error, message, phase} = outcome;
        return {kind: 'failed', error, message, phase, retryAtMs: undefined};
      }
    }
  }
}

/** Gets the monotonic time in milliseconds by which a request must have a final answer. */
export function getDeadlineMs(
  request: entry.EntryRequestHead,
  route: entry.EntryRoute,
): number {
  return Math.min(
    request.callerDeadlineMs,
    request.arrivedAtMs + route.timeLimitMs,
  );
}

function getRateLimitMessage(
  organisationId: string,
  admission: Extract<sharesService.ShareResult, {kind: 'refused'}>,
): string {
  const limit = Math.round(admission.limitPerSecond);
  return `${organisationId} is over its limit of ${limit}/s: ${admission.reason}`;
}
