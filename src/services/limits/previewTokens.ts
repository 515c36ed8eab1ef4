import * as decisions from '../../decisions/index.js';
import type * as kernel from '../../kernel/index.js';
import type * as fleetViews from '../fleet/FleetView.js';
import * as peersService from '../peers/PeersMessage.js';
import type * as messages from './LimitsMessage.js';

const CALL_TIMEOUT_MS = 400;

/** Asks an organisation's home whether it would grant a token now. The home grants none, and a failed call has no effect. */
export async function previewTokens(
  {services, clock}: kernel.TaskContext,
  home: fleetViews.LiveHolder,
  organisationId: string,
): Promise<messages.AdmissionResult> {
  const result = await services
    .getOrThrow(peersService.PEERS)
    .ask<peersService.CallResult>(reply => ({
      kind: 'call',
      peersAddress: home.peersAddress,
      request: {
        kind: 'previewTokens',
        organisationId,
        termMs: decisions.GRANT_TERM_MS,
      },
      deadlineMs: clock.monotonicMs() + CALL_TIMEOUT_MS,
      reply,
    }));
  if (result.kind !== 'answered' || result.answer.kind !== 'tokens')
    return {kind: 'unavailable'};
  const {grantedTokens, retryAfterMs} = result.answer;
  return grantedTokens > 0
    ? {kind: 'granted'}
    : {kind: 'refused', retryAtMs: clock.monotonicMs() + retryAfterMs};
}
