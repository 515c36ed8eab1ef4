import type * as decisions from '../../decisions/index.js';
import type * as kernel from '../../kernel/index.js';
import * as errors from '../../model/errors/index.js';
import type * as operators from '../../model/operators/index.js';
import * as limitsService from '../limits/LimitsMessage.js';
import * as quarantineService from '../quarantine/QuarantineMessage.js';
import * as upstreamRefusals from '../upstreams/refusals.js';
import * as upstreamsService from '../upstreams/UpstreamsMessage.js';
import * as admissions from './getAdmissionError.js';
import type * as previews from './RequestPreview.js';

type GrantedAccess = Extract<
  decisions.AccessDecision,
  {kind: 'open' | 'keyed'}
>;

/** What a preview says beyond the VM that was asked. */
export type FlowPreview = Omit<
  previews.RequestPreview,
  'vmId' | 'region' | 'configurationVersion'
>;

/** Previews the decisions of `RequestFlow`: asks the same services, none of which changes its state. */
export class RequestPreviewer {
  private readonly context: kernel.TaskContext;

  /** @param context Gives access to the clock and to the other services. */
  constructor(context: kernel.TaskContext) {
    this.context = context;
  }

  /** Gets where a request would go now, of which `access` is decided. */
  async preview(
    request: operators.PreviewedRequest,
    access: decisions.AccessDecision,
  ): Promise<FlowPreview> {
    if (access.kind === 'refused') {
      const refusal = toRefusal(
        errors.createError(access.error, access.message),
      );
      return {
        access: refusal,
        limit: {kind: 'notApplied'},
        upstreams: [],
        outcomes: [refusal],
      };
    }
    const [limit, admission, {ranked, choices}] = await Promise.all([
      this.previewLimit(access),
      this.previewAttempt(request, access),
      this.previewUpstreams(access.route.serviceId),
    ]);
    const {kind, routeId, route} = access;
    return {
      access: {kind, routeId, route, organisationId: getOrganisationId(access)},
      limit,
      upstreams: ranked,
      outcomes: getOutcomes(limit, admission, choices),
    };
  }

  private async previewLimit(
    access: GrantedAccess,
  ): Promise<previews.PreviewedLimit> {
    if (access.kind === 'open') return {kind: 'notApplied'};
    const {organisationId} = access;
    const result = await this.context.services
      .getOrThrow(limitsService.LIMITS)
      .ask<limitsService.AdmissionResult>(reply => ({
        kind: 'previewAdmission',
        organisationId,
        reply,
      }));
    switch (result.kind) {
      case 'granted':
        return result;
      case 'refused':
      case 'unavailable':
        return toRefusal(
          admissions.getAdmissionError(result, this.context.clock),
        );
      default:
        return errors.throwUnreachable(result);
    }
  }

  private async previewAttempt(
    {method, target}: operators.PreviewedRequest,
    access: GrantedAccess,
  ): Promise<decisions.QuarantineAdmission> {
    const repeatable = {
      organisationId: getOrganisationId(access),
      request: {method, target, body: new Uint8Array()},
    };
    return await this.context.services
      .getOrThrow(quarantineService.QUARANTINE)
      .ask(reply => ({kind: 'previewAttempt', repeatable, reply}));
  }

  private async previewUpstreams(
    serviceId: string,
  ): Promise<upstreamsService.UpstreamsPreview> {
    return await this.context.services
      .getOrThrow(upstreamsService.UPSTREAMS)
      .ask(reply => ({kind: 'preview', serviceId, reply}));
  }
}

/** Gets the possible results in the order in which the request path decides: limit, quarantine, upstream. */
function getOutcomes(
  limit: previews.PreviewedLimit,
  admission: decisions.QuarantineAdmission,
  choices: readonly upstreamsService.ChoicePreview[],
): readonly previews.PreviewedOutcome[] {
  if (limit.kind === 'refused') return [limit];
  switch (admission.kind) {
    case 'quarantined': {
      const {error, message} = upstreamRefusals.getQuarantineResult(
        admission.crashCount,
      );
      return [toRefusal(errors.createError(error, message))];
    }
    case 'admitted':
    case 'trial':
      return choices.map(choice =>
        toOutcome(choice, admission.kind === 'trial'),
      );
    default:
      return errors.throwUnreachable(admission);
  }
}

function toOutcome(
  choice: upstreamsService.ChoicePreview,
  isTrial: boolean,
): previews.PreviewedOutcome {
  switch (choice.kind) {
    case 'chosen':
      return {kind: 'sent', upstreamId: choice.upstreamId, isTrial};
    case 'notRun':
      return toRefusal(errors.createError(choice.error, choice.message));
    default:
      return errors.throwUnreachable(choice);
  }
}

function toRefusal(error: errors.BramleyrunError): previews.PreviewedRefusal {
  const {kind, message, retryAtMs} = error;
  const {httpStatus} = errors.ERROR_ANSWERS[kind];
  return {kind: 'refused', error: kind, message, httpStatus, retryAtMs};
}

function getOrganisationId(access: GrantedAccess): string {
  return access.kind === 'keyed' ? access.organisationId : '';
}
