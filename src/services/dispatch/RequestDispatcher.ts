import * as decisions from '../../decisions/index.js';
import * as errors from '../../model/errors/index.js';
import type * as base from '../base/index.js';
import type * as contexts from './DispatchContext.js';
import type * as messages from './DispatchMessage.js';
import * as dispatches from './decideDispatch.js';
import type * as steps from './decideStep.js';
import * as margins from './getAnswerMargin.js';
import type * as quarantines from './QuarantineClient.js';
import type * as placers from './RequestPlacer.js';
import type * as tables from './ServiceTable.js';
import type * as registries from './UpstreamRegistry.js';
import type * as senders from './UpstreamSender.js';

/** The parts of the dispatch service that take part in the dispatch of a request. */
export interface DispatcherParts {
  readonly registry: registries.UpstreamRegistry;
  readonly services: tables.ServiceTable;
  readonly placer: placers.RequestPlacer;
  readonly sender: senders.UpstreamSender;
  readonly quarantine: quarantines.QuarantineClient;

  /** Chooses among the services of a route. */
  readonly random: base.RandomSource;
}

/** Takes requests to their outcomes: carries out the steps that `decideDispatch` decides. */
export class RequestDispatcher {
  private readonly parts: DispatcherParts;
  private readonly context: contexts.DispatchContext;

  /**
   * @param parts What places, admits and sends requests.
   * @param context The clock and log of the task.
   */
  constructor(parts: DispatcherParts, context: contexts.DispatchContext) {
    this.parts = parts;
    this.context = context;
  }

  /** Sends a request to upstreams until one answers it or no further attempt may be made. */
  async run(
    dispatch: messages.EntryDispatch,
  ): Promise<messages.DispatchOutcome> {
    const {registry, services, placer, sender, quarantine} = this.parts;
    const {route, request, abandoned} = dispatch;
    const serviceId = decisions.chooseService(
      route,
      request.objectKey,
      this.parts.random.draw(),
    );
    services.creditRetryBudget(serviceId);
    let progress = dispatches.NO_ATTEMPTS;
    for (;;) {
      let remainingMs = this.getRemainingMs(dispatch);
      const start = dispatches.decideStart(
        progress,
        route.maxUpstreams,
        abandoned.aborted,
        remainingMs,
      );
      if (start.kind !== 'askQuarantine')
        return this.getOutcome(start, dispatch, serviceId);
      const admission = dispatches.decideAfterAdmission(
        progress,
        await quarantine.admitAttempt(dispatch),
        services.getRetryBudget(serviceId),
      );
      if (admission.kind !== 'place')
        return this.getOutcome(admission, dispatch, serviceId);
      const {purpose, mark} = admission;
      if (purpose === 'retry') services.spendRetry(serviceId);
      const {triedUpstreamIds} = progress;
      const attempt = {dispatch, serviceId, triedUpstreamIds, purpose};
      let placement = placer.place(attempt);
      let choice = dispatches.decideAfterPlacement(progress, placement);
      if (choice.kind === 'wait') {
        placement = await placer.waitForCapacity(attempt, choice.placement);
        remainingMs = this.getRemainingMs(dispatch);
        choice = dispatches.decideAfterWait(
          progress,
          placement,
          abandoned.aborted,
        );
      }
      if (purpose === 'first' && choice.kind !== 'abandoned')
        placer.countPlacement(attempt, placement);
      if (choice.kind !== 'send')
        return this.getOutcome(choice, dispatch, serviceId);
      const {upstreamId} = choice.placement;
      const record = registry.get(upstreamId)?.state.record;
      const result = await sender.send(dispatch, choice.placement, remainingMs);
      const recorded = quarantine.recordRun(dispatch, record, mark, result);
      const next = dispatches.decideAfterAttempt(
        progress,
        route.execution,
        upstreamId,
        result,
      );
      if (next.kind !== 'retry')
        return this.getOutcome(next, dispatch, serviceId);
      await recorded;
      this.logRetry(dispatch, upstreamId, result.kind);
      ({progress} = next);
    }
  }

  /** Gets the time in milliseconds that is left for upstreams. */
  private getRemainingMs(dispatch: messages.EntryDispatch): number {
    return margins.getFinishByMs(dispatch) - this.context.nowMs();
  }

  private getOutcome(
    end: dispatches.DispatchEnd,
    dispatch: messages.EntryDispatch,
    serviceId: string,
  ): messages.DispatchOutcome {
    switch (end.kind) {
      case 'answered':
      case 'abandoned':
        return end;
      case 'failed':
        return this.getFailedOutcome(end.failure, dispatch, serviceId);
      default:
        return errors.throwUnreachable(end);
    }
  }

  private getFailedOutcome(
    failure: steps.Failure,
    dispatch: messages.EntryDispatch,
    serviceId: string,
  ): messages.DispatchOutcome {
    switch (failure.kind) {
      case 'notRun': {
        const retryAtMs = this.parts.placer.getRetryAtMs(
          dispatch,
          serviceId,
          failure.error,
        );
        return {...failure, kind: failure.kind, retryAtMs};
      }
      case 'mayHaveRun':
        return {...failure, kind: failure.kind};
      default:
        return errors.throwUnreachable(failure.kind);
    }
  }

  private logRetry(
    dispatch: messages.EntryDispatch,
    upstreamId: string,
    reason: string,
  ): void {
    const request = dispatch.request.requestId;
    this.context.log('info', 'requestRetried', {
      request,
      upstream: upstreamId,
      reason,
    });
  }
}
