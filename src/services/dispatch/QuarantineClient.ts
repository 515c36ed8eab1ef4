import type * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import * as quarantineService from '../quarantine/QuarantineMessage.js';
import type * as contexts from './DispatchContext.js';
import type * as messages from './DispatchMessage.js';
import type * as connections from './UpstreamConnections.js';

/** Asks the quarantine service whether requests may be sent, and tells it how their attempts ended. */
export class QuarantineClient {
  private readonly context: contexts.DispatchContext;

  /** @param context Finds the quarantine service. */
  constructor(context: contexts.DispatchContext) {
    this.context = context;
  }

  /** Asks whether an attempt to send a request may begin. */
  async admitAttempt(
    dispatch: messages.EntryDispatch,
  ): Promise<quarantineService.AttemptAdmission> {
    return await this.context
      .getService(quarantineService.QUARANTINE)
      .ask<quarantineService.AttemptAdmission>(reply => ({
        kind: 'admitAttempt',
        repeatable: getRepeatable(dispatch),
        reply,
      }));
  }

  /**
   * Records whether an upstream survived an attempt. Resolves once the request may be sent again.
   *
   * @param upstream The record that the upstream had when the request was sent to it; undefined if it had none.
   * @param mark The mark with which the attempt was admitted.
   */
  async recordRun(
    dispatch: messages.EntryDispatch,
    upstream: entry.UpstreamRecord | undefined,
    mark: decisions.AttemptMark,
    result: connections.SendResult,
  ): Promise<void> {
    const quarantine = this.context.getService(quarantineService.QUARANTINE);
    const repeatable = getRepeatable(dispatch);
    switch (result.kind) {
      case 'answered':
        quarantine.post({kind: 'recordAnswer', repeatable});
        return;
      case 'broken': {
        if (upstream === undefined) return;
        await quarantine.ask<void>(reply => ({
          kind: 'recordBreak',
          repeatable,
          mark,
          upstream,
          reply,
        }));
        return;
      }
      case 'shed':
      case 'misdirected':
      case 'notSent':
      case 'withheld':
      case 'garbled':
      case 'timedOut':
      case 'abandoned':
        return;
      default:
        errors.throwUnreachable(result);
    }
  }
}

function getRepeatable({
  request,
  organisation,
}: messages.EntryDispatch): quarantineService.RepeatableRequest {
  return {request, organisationId: organisation?.organisationId ?? ''};
}
