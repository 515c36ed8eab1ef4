import type * as codecs from '../../codecs/entry/index.js';
import * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import * as membersService from '../members/MembersMessage.js';
import type * as contexts from './DispatchContext.js';
import type * as registries from './UpstreamRegistry.js';
import type * as states from './UpstreamState.js';

/** Shortest time between two log lines about unreadable notices of upstreams. */
const UNREADABLE_NOTICE_LOG_INTERVAL_MS = 60_000;

/** The length in characters to which a logged header value is cut. */
const MAX_LOGGED_VALUE_LENGTH = 40;

/** Applies what upstreams say of themselves, here or to other VMs, and tells the other VMs which upstreams leave. */
export class NoticeHandler {
  private readonly registry: registries.UpstreamRegistry;
  private readonly context: contexts.DispatchContext;
  private nextUnreadableLogAtMs = -Infinity;

  /**
   * @param registry The upstreams.
   * @param context The clock, services and log of the task.
   */
  constructor(
    registry: registries.UpstreamRegistry,
    context: contexts.DispatchContext,
  ) {
    this.registry = registry;
    this.context = context;
  }

  /** Applies a notice that came with a response of an upstream. */
  handle(state: states.UpstreamState, notice: codecs.UpstreamNotice): void {
    switch (notice.kind) {
      case 'leaving':
        if (this.setLeaving(state.record, 'response'))
          this.context.getService(membersService.MEMBERS).post({
            kind: 'announceLeavingUpstream',
            start: state.record,
          });
        return;
      case 'pause':
        this.extendPause(state, notice.pauseMs);
        return;
      case 'unreadable':
        this.logUnreadable(state, notice.header, notice.value);
        return;
      default:
        errors.throwUnreachable(notice);
    }
  }

  /** Marks a start of an upstream as leaving. Returns whether the mark is new. */
  setLeaving(start: entry.UpstreamStart, source: 'response' | 'peer'): boolean {
    const isNew = this.registry.setLeaving(start, this.context.nowMs());
    if (isNew)
      this.context.log('info', 'upstreamLeaving', {
        upstream: start.upstreamId,
        source,
      });
    return isNew;
  }

  private extendPause(state: states.UpstreamState, pauseMs: number): void {
    if (!decisions.isPauseAccepted(pauseMs)) {
      this.logUnreadable(state, 'pauseMs', String(pauseMs));
      return;
    }
    const nowMs = this.context.nowMs();
    const wasHeld = decisions.isHeld(state.hold, nowMs);
    state.extendPause(pauseMs, nowMs);
    if (!wasHeld && decisions.isHeld(state.hold, nowMs))
      this.context.log('info', 'upstreamPaused', {
        upstream: state.upstreamId,
        pauseMs,
      });
  }

  private logUnreadable(
    state: states.UpstreamState,
    header: string,
    value: string,
  ): void {
    const nowMs = this.context.nowMs();
    if (nowMs < this.nextUnreadableLogAtMs) return;
    this.nextUnreadableLogAtMs = nowMs + UNREADABLE_NOTICE_LOG_INTERVAL_MS;
    this.context.log('warn', 'upstreamNoticeUnreadable', {
      upstream: state.upstreamId,
      header,
      value: value.slice(0, MAX_LOGGED_VALUE_LENGTH),
    });
  }
}
