import * as pureRand from 'pure-rand';
import * as zod from 'zod';
import * as decisions from '../../decisions/index.js';
import * as errors from '../../model/errors/index.js';
import * as base from '../base/index.js';
import * as configurationService from '../configuration/ConfigurationMessage.js';
import * as fleetService from '../fleet/FleetMessage.js';
import type * as fleetViews from '../fleet/FleetView.js';
import * as quarantineService from '../quarantine/QuarantineMessage.js';
import * as previews from './previewChoice.js';
import * as refusals from './refusals.js';
import type * as clients from './UpstreamClient.js';
import * as tables from './UpstreamTable.js';
import type * as messages from './UpstreamsMessage.js';

const PROBE_INTERVAL_MS = 1000;
const PROBE_TIMEOUT_MS = 800;
const MAX_ATTEMPTS = 3;
const HTTP_OK = 200;
const RANDOM_RANGE = 2 ** 32;

const loadSchema = zod.object({
  busyCount: zod.number().min(0),
  status: zod.enum(['active', 'draining']),
});

/** Chooses upstreams, sends requests to them and tracks their state. */
export class UpstreamsTask extends base.ServiceTask<messages.UpstreamsMessage> {
  private readonly table: tables.UpstreamTable;
  private readonly random: pureRand.RandomGenerator;
  private fleetView: fleetViews.FleetView | undefined;
  private retryBudget = decisions.FULL_RETRY_BUDGET;

  /**
   * @param location The location of this process.
   * @param seed Seed of the random choice of upstreams.
   * @param maxHeldBodyBytes The most memory in bytes that the upstreams' answers may take together.
   */
  constructor(
    location: tables.Location,
    seed: number,
    maxHeldBodyBytes: number,
  ) {
    super();
    this.table = new tables.UpstreamTable(location, maxHeldBodyBytes);
    this.random = pureRand.xoroshiro128plus(seed);
  }

  protected override async onStart(): Promise<void> {
    const {services} = this.getContext();
    const subscriber = this.getAddress();
    services
      .getOrThrow(configurationService.CONFIGURATION)
      .post({kind: 'subscribe', subscriber});
    services
      .getOrThrow(fleetService.FLEET)
      .post({kind: 'subscribe', subscriber});
    this.postEvery(PROBE_INTERVAL_MS, {kind: 'tick'});
  }

  protected override async onStop(): Promise<void> {
    await this.table.close();
  }

  protected override receive(message: messages.UpstreamsMessage): void {
    switch (message.kind) {
      case 'configurationChanged':
        this.table.update(
          message.configuration.document.upstreams,
          this.nowMs(),
        );
        this.probeAll();
        return;
      case 'fleetChanged':
        this.fleetView = message.view;
        return;
      case 'dispatch':
        void this.dispatchRequest(message.dispatch).then(message.reply);
        return;
      case 'preview':
        message.reply(this.preview(message.serviceId));
        return;
      case 'tick':
        this.probeAll();
        return;
      default:
        errors.throwUnreachable(message);
    }
  }

  private async dispatchRequest(
    dispatch: messages.DispatchRequest,
  ): Promise<messages.DispatchResult> {
    this.retryBudget = decisions.recordAttempt(this.retryBudget);
    const triedUpstreamIds: string[] = [];
    let failure: messages.DispatchResult | undefined;
    for (let attemptCount = 0; attemptCount < MAX_ATTEMPTS; attemptCount += 1) {
      const admission = await this.admitAttempt(dispatch);
      if (admission.kind === 'quarantined')
        return refusals.getQuarantineResult(admission.crashCount);
      if (attemptCount > 0 && !this.tryConsumeRetry()) break;
      const choice = this.chooseUpstream(dispatch.serviceId, triedUpstreamIds);
      if (choice.kind !== 'chosen')
        return failure ?? refusals.getNoChoiceResult(choice);
      triedUpstreamIds.push(choice.upstreamId);
      const upstream = this.table.get(choice.upstreamId)?.upstream;
      const result = await this.send(dispatch, choice.upstreamId);
      const step = this.decideStep(dispatch, choice.upstreamId, result);
      if (result.kind === 'broken' && upstream !== undefined)
        await this.recordBreak(dispatch, admission.mark, {
          ...upstream,
          upstreamId: choice.upstreamId,
        });
      if (step.kind === 'done') return step.result;
      failure = getWorseFailure(failure, step.failure);
    }
    return failure ?? refusals.getNoChoiceResult({kind: 'none'});
  }

  private preview(serviceId: string): messages.UpstreamsPreview {
    const {clock} = this.getContext();
    return {
      ranked: previews.rankUpstreams(this.table.getOfService(serviceId), clock),
      choices: previews.previewChoices(
        this.table.getViews(serviceId),
        this.processCount,
        clock,
      ),
    };
  }

  /** The number of processes that may choose among the upstreams at the same time. */
  private get processCount(): number {
    return this.fleetView?.servingVms.length ?? 1;
  }

  private chooseUpstream(
    serviceId: string,
    triedUpstreamIds: readonly string[],
  ): decisions.UpstreamChoice {
    const input: decisions.ChoiceInput = {
      triedUpstreamIds,
      processCount: this.processCount,
      randomA: this.getRandom(),
      randomB: this.getRandom(),
    };
    const views = this.table.getViews(serviceId);
    return decisions.chooseUpstream(views, input, this.nowMs());
  }

  private async send(
    dispatch: messages.DispatchRequest,
    upstreamId: string,
  ): Promise<clients.SendResult> {
    const entry = this.table.get(upstreamId);
    if (entry === undefined) return {kind: 'notSent'};
    const {request, organisationId, deadlineMs, abandoned} = dispatch;
    const remainingMs = deadlineMs - this.getContext().clock.wallMs();
    const startedAtMs = this.nowMs();
    this.table.addInFlight(upstreamId, 1);
    const result = await entry.client.send({
      request,
      organisationId,
      deadlineMs,
      remainingMs,
      isStillEligible: () => this.table.isEligible(upstreamId, entry.client),
      abandoned,
    });
    this.table.addInFlight(upstreamId, -1);
    const valueMs = this.nowMs() - startedAtMs;
    this.observe('upstream_ms', valueMs);
    return result;
  }

  /** Records how an attempt ended and decides whether to retry. */
  private decideStep(
    dispatch: messages.DispatchRequest,
    upstreamId: string,
    result: clients.SendResult,
  ): Step {
    switch (result.kind) {
      case 'answered':
        this.table.addSuccess(upstreamId, this.nowMs());
        this.getService(quarantineService.QUARANTINE).post({
          kind: 'recordAnswer',
          repeatable: dispatch,
        });
        return {kind: 'done', result};
      case 'shed':
        this.table.addShed(upstreamId, this.nowMs());
        return retry('notRun', 'upstreamShed', 'the upstreams shed load');
      case 'notSent':
        this.avoid(upstreamId, result.kind);
        return retry('notRun', 'noUpstream', 'no upstream could be reached');
      case 'garbled':
        this.count('answers_discarded');
        this.avoid(upstreamId, result.kind);
        return getBrokenStep(dispatch);
      case 'broken':
        this.avoid(upstreamId, result.kind);
        return getBrokenStep(dispatch);
      case 'timedOut':
        return finish('deadlineExceeded', 'no answer came in time');
      case 'abandoned':
        return finish('upstreamFailed', 'the caller left');
      default:
        return errors.throwUnreachable(result);
    }
  }

  private avoid(upstreamId: string, reason: string): void {
    this.table.addFailure(upstreamId, this.nowMs());
    this.log('warn', 'upstreamAvoided', {upstream: upstreamId, reason});
  }

  private tryConsumeRetry(): boolean {
    if (!decisions.isRetryAllowed(this.retryBudget)) return false;
    this.retryBudget = decisions.recordRetry(this.retryBudget);
    this.count('upstream_retries');
    return true;
  }

  private async admitAttempt(
    dispatch: messages.DispatchRequest,
  ): Promise<quarantineService.AttemptAdmission> {
    return await this.getService(
      quarantineService.QUARANTINE,
    ).ask<quarantineService.AttemptAdmission>(reply => ({
      kind: 'admitAttempt',
      repeatable: dispatch,
      reply,
    }));
  }

  /** Records that a request was running while a connection broke, before the request can be retried. */
  private async recordBreak(
    dispatch: messages.DispatchRequest,
    mark: decisions.AttemptMark,
    upstream: quarantineService.BrokenUpstream,
  ): Promise<void> {
    await this.getService(quarantineService.QUARANTINE).ask<void>(reply => ({
      kind: 'recordBreak',
      repeatable: dispatch,
      mark,
      upstream,
      reply,
    }));
  }

  private probeAll(): void {
    for (const upstreamId of this.table.getIds()) void this.probe(upstreamId);
  }

  private async probe(upstreamId: string): Promise<void> {
    const entry = this.table.get(upstreamId);
    if (entry === undefined) return;
    const requestedAtMs = this.nowMs();
    const {ownInFlightCount} = entry.view;
    const result = await entry.client.send(
      createProbe(this.getContext().clock.wallMs() + PROBE_TIMEOUT_MS),
    );
    if (result.kind === 'notSent') {
      this.table.addFailure(upstreamId, this.nowMs());
      return;
    }
    if (result.kind !== 'answered') return;
    if (!decisions.isAvoided(entry.view.avoidance, requestedAtMs))
      this.table.addSuccess(upstreamId, this.nowMs());
    const load = decodeLoad(result.answer);
    switch (load.kind) {
      case 'none':
        return;
      case 'unreadable':
        this.log('warn', 'loadReportUnreadable', {
          upstream: upstreamId,
          reason: load.reason,
        });
        return;
      case 'read':
        this.table.setReport(
          upstreamId,
          {
            busyCount: load.busyCount,
            ownInFlightCount,
            requestedAtMs,
          },
          load.status === 'draining',
        );
        return;
      default:
        errors.throwUnreachable(load);
    }
  }

  private getRandom(): number {
    const value = pureRand.unsafeUniformIntDistribution(
      0,
      RANDOM_RANGE - 1,
      this.random,
    );
    return value / RANDOM_RANGE;
  }
}

/** What to do after an attempt to send a request. */
type Step =
  | {readonly kind: 'done'; readonly result: messages.DispatchResult}
  | {readonly kind: 'retry'; readonly failure: messages.DispatchResult};

function retry(
  kind: 'notRun' | 'mayHaveRun',
  error: errors.ErrorKind,
  message: string,
): Step {
  return {kind: 'retry', failure: {kind, error, message}};
}

function finish(error: errors.ErrorKind, message: string): Step {
  return {kind: 'done', result: {kind: 'mayHaveRun', error, message}};
}

function getBrokenStep(dispatch: messages.DispatchRequest): Step {
  const message = 'the upstream broke off while it had the request';
  return dispatch.isIdempotent
    ? retry('mayHaveRun', 'upstreamFailed', message)
    : finish('upstreamFailed', message);
}

/** Gets the failure to report: one after which the request may have run takes precedence over a later one. */
function getWorseFailure(
  previous: messages.DispatchResult | undefined,
  next: messages.DispatchResult,
): messages.DispatchResult {
  return previous?.kind === 'mayHaveRun' ? previous : next;
}

function createProbe(deadlineMs: number): clients.OutboundRequest {
  return {
    request: {
      requestId: 'probe',
      method: 'GET',
      target: '/load',
      headers: [],
      body: new Uint8Array(),
      key: '',
      idempotencyKey: '',
    },
    organisationId: '',
    deadlineMs,
    remainingMs: PROBE_TIMEOUT_MS,
    isStillEligible: () => true,
    abandoned: new AbortController().signal,
  };
}

/** The load report of an upstream's answer. */
type DecodedLoad =
  /** The answer contains no load report. */
  | {readonly kind: 'none'}
  | {readonly kind: 'unreadable'; readonly reason: string}
  | (Readonly<zod.infer<typeof loadSchema>> & {readonly kind: 'read'});

function decodeLoad(
  answer: Extract<clients.SendResult, {kind: 'answered'}>['answer'],
): DecodedLoad {
  if (answer.httpStatus !== HTTP_OK || answer.body.kind !== 'whole')
    return {kind: 'none'};
  try {
    const text = Buffer.from(answer.body.bytes).toString('utf8');
    return {kind: 'read', ...loadSchema.parse(JSON.parse(text))};
  } catch (thrown) {
    return {kind: 'unreadable', reason: errors.toError(thrown).message};
  }
}
