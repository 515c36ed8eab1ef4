import * as oclif from '@oclif/core';
import * as codecs from '../../../codecs/index.js';
import * as errors from '../../../model/errors/index.js';
import type * as services from '../../../services/callers/index.js';
import * as operatorCommands from '../OperatorCommand.js';

/** Shows where a request would go now and why, without sending it. */
export class Where extends operatorCommands.OperatorCommand {
  static override summary =
    'Shows where a request would go now if the queried VM received it, and why. Sends nothing to upstreams.';
  static override description =
    'Takes nothing from the rate limit and changes no state. The body counts as empty, and claims of actions that run at most once are not looked up. Only a digest of the API key is sent to the daemon.';
  static override examples = [
    '<%= config.bin %> where /look-up/x --key KEY',
    '<%= config.bin %> where /doors/1 --method POST --key KEY --idempotency-key i1',
  ];
  static override args = {
    target: oclif.Args.string({
      description: 'the path of the request, with its query string',
      required: true,
    }),
  };
  static override flags = {
    method: oclif.Flags.string({default: 'GET'}),
    key: oclif.Flags.string({
      description: "the caller's API key",
      env: 'BRAMLEYRUN_KEY',
      default: '',
    }),
    'idempotency-key': oclif.Flags.string({default: ''}),
  };

  /** Runs the command. */
  async run(): Promise<services.RequestPreview> {
    const {args, flags} = await this.parse(Where);
    const request = decodeRequest(
      flags.method,
      args.target,
      flags.key,
      flags['idempotency-key'],
    );
    const preview = await this.getClient().callOrThrow<services.RequestPreview>(
      {
        kind: 'preview',
        method: request.method,
        target: request.target,
        keyDigestHex:
          request.key === '' ? '' : codecs.getTextDigestHex(request.key),
        hasIdempotencyKey: request.idempotencyKey !== '',
      },
    );
    this.logPreview(preview);
    return preview;
  }

  private logPreview(preview: services.RequestPreview): void {
    const {vmId, region, configurationVersion, upstreams, outcomes} = preview;
    this.logPairs({vm: vmId, region, version: configurationVersion});
    this.logPairs({access: preview.access.kind, ...getDetails(preview.access)});
    this.logPairs({limit: preview.limit.kind, ...getDetails(preview.limit)});
    for (const {condition, ...figures} of upstreams)
      this.logPairs({
        upstream: figures.upstreamId,
        region: figures.region,
        distance: figures.distance,
        condition: condition.kind,
        until:
          'untilMs' in condition ? formatTime(condition.untilMs) : undefined,
        slots: figures.slotCount,
        usable: formatCount(figures.usableSlotCount),
        busy: formatCount(figures.busyCount),
        free: formatCount(figures.freeSlotCount),
        queued: formatCount(figures.queuedCount),
        warm: figures.isWarm,
      });
    for (const outcome of outcomes)
      this.logPairs({
        outcome: outcome.kind,
        ...getDetails(outcome),
        drawnAmong: outcomes.length > 1 ? outcomes.length : undefined,
      });
  }
}

/** Decodes the request as the callers' listener does. @throws BramleyrunError of kind invalidRequest. */
function decodeRequest(
  method: string,
  target: string,
  key: string,
  idempotencyKey: string,
): ReturnType<typeof codecs.decodeCallerRequest> {
  const rawHeaders = [
    ...(key === '' ? [] : ['authorization', `Bearer ${key}`]),
    codecs.IDEMPOTENCY_KEY_HEADER,
    idempotencyKey,
  ];
  const body = Buffer.alloc(0);
  return codecs.decodeCallerRequest({
    requestId: '',
    method: method.toUpperCase(),
    target,
    rawHeaders,
    body,
  });
}

/** Gets what is printed of one part of a preview besides its kind. */
function getDetails(
  part:
    | services.PreviewedAccess
    | services.PreviewedLimit
    | services.PreviewedOutcome,
): Readonly<Record<string, unknown>> {
  switch (part.kind) {
    case 'open':
    case 'keyed':
      return {
        route: part.routeId,
        service: part.route.serviceId,
        execution: part.route.execution,
        budgetMs: part.route.budgetMs,
        organisation: part.organisationId || undefined,
      };
    case 'granted':
    case 'notApplied':
      return {};
    case 'sent':
      return {upstream: part.upstreamId, trial: part.isTrial || undefined};
    case 'refused':
      return {
        error: part.error,
        status: part.httpStatus,
        message: part.message,
        retryAt:
          part.retryAtMs === undefined ? undefined : formatTime(part.retryAtMs),
      };
    default:
      return errors.throwUnreachable(part);
  }
}

function formatTime(atMs: number): string {
  return new Date(atMs).toISOString();
}

function formatCount(count: number): number {
  return Math.round(count * 10) / 10;
}
