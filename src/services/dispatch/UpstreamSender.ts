import type * as codecs from '../../codecs/entry/index.js';
import * as decisions from '../../decisions/index.js';
import * as errors from '../../model/errors/index.js';
import type * as contexts from './DispatchContext.js';
import type * as messages from './DispatchMessage.js';
import * as margins from './getAnswerMargin.js';
import type * as notices from './NoticeHandler.js';
import type * as balancers from './RegionBalancer.js';
import * as placers from './RequestPlacer.js';
import type * as connections from './UpstreamConnections.js';
import type * as registries from './UpstreamRegistry.js';

const HTTP_INTERNAL_SERVER_ERROR = 500;
const HTTP_GATEWAY_TIMEOUT = 504;

/** The parts of the dispatch service that learn from each attempt. */
export interface SenderParts {
  readonly codec: codecs.WireCodec;
  readonly registry: registries.UpstreamRegistry;
  readonly balancer: balancers.RegionBalancer;
  readonly placer: placers.RequestPlacer;
  readonly notices: notices.NoticeHandler;
}

/** Sends requests to chosen upstreams and records what each attempt shows of the upstream. */
export class UpstreamSender {
  private readonly parts: SenderParts;
  private readonly context: contexts.DispatchContext;

  /**
   * @param parts What encodes requests and learns from attempts.
   * @param context The clock, log and metrics of the task.
   */
  constructor(parts: SenderParts, context: contexts.DispatchContext) {
    this.parts = parts;
    this.context = context;
  }

  /**
   * Sends a request once. A failed attempt is a kind of result, not an error.
   *
   * @param placement The upstream, with the times that are expected of it.
   * @param remainingMs The time in milliseconds that is left to run the request.
   */
  async send(
    dispatch: messages.EntryDispatch,
    {upstreamId, expected}: Extract<decisions.Placement, {kind: 'chosen'}>,
    remainingMs: number,
  ): Promise<connections.SendResult> {
    const {codec, registry, balancer, placer, notices} = this.parts;
    const upstream = registry.get(upstreamId);
    if (upstream === undefined) return {kind: 'notSent', reason: 'gone'};
    const {request, route, organisation, abandoned} = dispatch;
    const {state} = upstream;
    const startedAtMs = this.context.nowMs();
    const sendId = state.addSend(startedAtMs);
    const {serviceId, region} = state.record;
    const isRegionBound =
      decisions.getHomeRegions(route, organisation) !== undefined;
    const boundRegion = isRegionBound ? region : undefined;
    balancer.addInFlight(serviceId, boundRegion, 1, startedAtMs);
    const result = await upstream.connections.send({
      request,
      headers: codec.encodeDispatch(request.headers, {
        upstreamId,
        organisationId: organisation?.organisationId,
        remainingMs: Math.floor(remainingMs),
      }),
      remainingMs,
      answerMargin: margins.getAnswerMargin(request, dispatch.deadlineMs),
      needsNewConnection:
        route.execution === 'atMostOnce' && state.isUnreliable(startedAtMs),
      isStillEligible: () => registry.isOpen(state, this.context.nowMs()),
      onNotice: notice => notices.handle(state, notice),
      abandoned,
    });
    const endedAtMs = this.context.nowMs();
    balancer.addInFlight(serviceId, boundRegion, -1, endedAtMs);
    this.context.observe('upstream_ms', endedAtMs - startedAtMs);
    if (result.kind === 'answered')
      state.addWarmObject(placers.getObjectName(dispatch));
    this.recordResult(upstream, result, startedAtMs, endedAtMs);
    state.endSend(sendId);
    if (isComplete(result) && expected !== undefined)
      placer.recordAnswer(
        serviceId,
        route.routeId,
        endedAtMs - startedAtMs,
        expected,
      );
    placer.wake(serviceId);
    return result;
  }

  private recordResult(
    {state}: registries.RegisteredUpstream,
    result: connections.SendResult,
    startedAtMs: number,
    nowMs: number,
  ): void {
    switch (result.kind) {
      case 'answered':
        // The upstream gave up, so that others are likely to answer sooner.
        if (result.answer.httpStatus === HTTP_GATEWAY_TIMEOUT) {
          state.addFailure(nowMs);
          this.logAvoided(state.upstreamId, 'timedOut');
        } else {
          this.parts.registry.addDuration(state, nowMs - startedAtMs);
          state.addAnswer(result.load, nowMs);
        }
        return;
      case 'shed':
        state.addShed(result.load, nowMs);
        return;
      case 'misdirected':
        state.setMisdirected();
        this.logAvoided(state.upstreamId, result.kind);
        return;
      case 'garbled':
        state.addAnswer(undefined, nowMs);
        state.markUnreliable(nowMs);
        this.context.count('answers_discarded');
        return;
      case 'broken':
        state.addAnswer(undefined, nowMs);
        state.markUnreliable(nowMs);
        return;
      case 'notSent':
      case 'timedOut':
        state.addFailure(nowMs);
        this.logAvoided(state.upstreamId, result.kind);
        return;
      case 'withheld':
      case 'abandoned':
        return;
      default:
        errors.throwUnreachable(result);
    }
  }

  private logAvoided(upstreamId: string, reason: string): void {
    this.context.log('warn', 'upstreamAvoided', {upstream: upstreamId, reason});
  }
}

/** Whether an upstream has done the whole work of a request. */
function isComplete(result: connections.SendResult): boolean {
  return (
    result.kind === 'answered' &&
    result.answer.httpStatus < HTTP_INTERNAL_SERVER_ERROR
  );
}
