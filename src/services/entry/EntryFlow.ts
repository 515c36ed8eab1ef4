import type * as kernel from '../../kernel/index.js';
import type * as entry from '../../model/entry/index.js';
import type * as errors from '../../model/errors/index.js';
import * as dispatchService from '../dispatch/DispatchMessage.js';
import * as sharesService from '../shares/SharesMessage.js';
import type * as gates from './IntakeGate.js';

/** What a caller gets. */
export type EntryResult =
  | {readonly kind: 'answered'; readonly answer: entry.EntryAnswer}
  /** The caller left, and nobody takes an answer. */
  | {readonly kind: 'abandoned'}
  | {
      readonly kind: 'failed';
      readonly error: errors.ErrorKind;
      readonly message: string;

      /** Monotonic time in milliseconds from which a repeat makes sense, if that is known. */
      readonly retryAtMs: number | undefined;
    };

/** A request with the decision that lets it run. */
export interface GrantedEntry {
  readonly request: entry.EntryRequest;
  readonly route: entry.EntryRoute;
  readonly organisation: entry.EntryOrganisation | undefined;

  /** Aborted when the caller has left. */
  readonly abandoned: AbortSignal;
}

/** Takes one request from its admission to its answer. It knows no wire form. */
export class EntryFlow {
  private readonly dispatch: kernel.Address<dispatchService.DispatchMessage>;
  private readonly shares: kernel.Address<sharesService.SharesMessage>;
  private readonly gate: gates.IntakeGate;

  /**
   * @param services Finds the services that the request passes.
   * @param gate Decides what is taken on under load.
   */
  constructor(services: kernel.ServiceDirectory, gate: gates.IntakeGate) {
    this.gate = gate;
    this.dispatch = services.getOrThrow(dispatchService.DISPATCH);
    this.shares = services.getOrThrow(sharesService.SHARES);
  }

  /** Runs a request that may run. */
  async run(granted: GrantedEntry): Promise<EntryResult> {
    const {request, route, organisation, abandoned} = granted;
    if (abandoned.aborted) return {kind: 'abandoned'};
    if (organisation !== undefined) {
      const share = await this.shares.ask<sharesService.ShareResult>(reply => ({
        kind: 'admit',
        organisationId: organisation.organisationId,
        abandoned,
        reply,
      }));
      switch (share.kind) {
        case 'granted':
          break;
        case 'abandoned':
          return share;
        case 'refused':
          return {
            kind: 'failed',
            error: 'rateLimited',
            message: getLimitMessage(organisation.organisationId, share),
            retryAtMs: share.retryAtMs,
          };
      }
    }
    if (abandoned.aborted) return {kind: 'abandoned'};
    // Comes after the limits, so that organisations that ask for too much do not crowd out the others.
    if (!this.gate.isTakenOn())
      return {
        kind: 'failed',
        error: 'overloaded',
        message: 'this VM is behind with its requests',
        retryAtMs: this.gate.getRetryAtMs(),
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
        const {error, message, retryAtMs} = outcome;
        return {kind: 'failed', error, message, retryAtMs};
      }
      case 'mayHaveRun': {
        const {error, message} = outcome;
        return {kind: 'failed', error, message, retryAtMs: undefined};
      }
    }
  }
}

function getDeadlineMs(
  request: entry.EntryRequest,
  route: entry.EntryRoute,
): number {
  return Math.min(
    request.callerDeadlineMs,
    request.arrivedAtMs + route.timeLimitMs,
  );
}

function getLimitMessage(
  organisationId: string,
  share: Extract<sharesService.ShareResult, {kind: 'refused'}>,
): string {
  const limit = Math.round(share.limitPerSecond);
  return `${organisationId} is over its limit of ${limit}/s: ${share.reason}`;
}
