import * as decisions from '../../decisions/index.js';
import type * as kernel from '../../kernel/index.js';
import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import * as base from '../base/index.js';
import type * as adapters from './StoreAdapter.js';
import type * as messages from './StoreMessage.js';

/**
 * The time in milliseconds within which the store must answer a call, or send more of its answer: well above the response time of a slow store, and within the
 * bounds on applying a configuration and on detecting a leaving upstream.
 */
const ANSWER_TIMEOUT_MS = 900;

/** The shortest time in milliseconds between two log lines about answers whose timeline is in doubt. */
const DOUBT_LOG_INTERVAL_MS = 60_000;

interface CallOutcome {
  readonly kind: string;
  readonly reason?: string;
  readonly position?: entry.StorePosition;
}

interface Unavailable {
  readonly kind: 'unavailable';
  readonly reason: string;
}

/**
 * Owns the connections to the platform's store, and logs when the store becomes unavailable and available again. It
 * notices when the store has returned from an older copy; answers that cross the return count as not received.
 */
export class StoreTask extends base.ServiceTask<messages.StoreMessage> {
  private readonly adapter: adapters.StoreAdapter;
  private readonly timelineSubscribers: kernel.Address<messages.TimelineBegun>[] =
    [];
  private timeline = decisions.INITIAL_TIMELINE;
  private doubtLoggedAtMs = -Infinity;
  private isAvailable = true;
  private isClosing = false;

  /** @param adapter Access to this platform's store. */
  constructor(adapter: adapters.StoreAdapter) {
    super();
    this.adapter = adapter;
  }

  protected override async onStop(): Promise<void> {
    this.isClosing = true;
    await this.adapter.close();
  }

  protected override receive(message: messages.StoreMessage): void {
    const {adapter} = this;
    switch (message.kind) {
      case 'subscribeTimelines':
        this.timelineSubscribers.push(message.subscriber);
        return;
      case 'readOperatorRows':
        this.runCall(
          adapter.readOperatorRows(ANSWER_TIMEOUT_MS),
          message.reply,
        );
        return;
      case 'awaitOperatorRows':
        this.runCall(
          adapter.awaitOperatorRows(
            message.after,
            message.waitMs,
            Math.max(0, Math.ceil(message.deadlineMs - this.nowMs())),
          ),
          message.reply,
        );
        return;
      case 'readUpstreamRows':
        this.runCall(
          adapter.readUpstreamRows(ANSWER_TIMEOUT_MS),
          message.reply,
        );
        return;
      case 'readMembers':
        this.runCall(adapter.readMembers(ANSWER_TIMEOUT_MS), message.reply);
        return;
      case 'awaitMembers':
        this.runCall(
          adapter.awaitMembers(
            message.after,
            message.waitMs,
            message.waitMs + ANSWER_TIMEOUT_MS,
          ),
          message.reply,
        );
        return;
      case 'writeMember':
        this.runCall(
          adapter.writeMember(message.member, ANSWER_TIMEOUT_MS),
          message.reply,
        );
        return;
      case 'readPlacement':
        this.runCall(adapter.readPlacement(ANSWER_TIMEOUT_MS), message.reply);
        return;
      case 'writePlacement':
        this.runCall(
          adapter.writePlacement(message.row, ANSWER_TIMEOUT_MS),
          message.reply,
        );
        return;
      case 'removeMember':
        this.runCall(
          adapter.removeMember(message.vmId, ANSWER_TIMEOUT_MS),
          message.reply,
        );
        return;
      default:
        errors.throwUnreachable(message);
    }
  }

  private runCall<R extends CallOutcome>(
    call: Promise<adapters.StoreAnswer<R | Unavailable>>,
    reply: kernel.Reply<R | Unavailable>,
  ): void {
    const sentAtMs = this.nowMs();
    const handleAnswer = (
      answer: adapters.StoreAnswer<R | Unavailable>,
    ): void => {
      this.observe('platform_ms', this.nowMs() - sentAtMs);
      this.count('platform_calls');
      const result = this.locateResult(answer, sentAtMs);
      this.recordOutcome(result);
      reply(result);
    };
    call.then(handleAnswer, (thrown: unknown) =>
      handleAnswer({
        result: createUnavailableResult(errors.toError(thrown).message),
        timeline: {kind: 'noAnswer'},
      }),
    );
  }

  /** Gets the result with the timeline to which it belongs, or that there is none, as that timeline has ended. */
  private locateResult<R extends CallOutcome>(
    {result, timeline}: adapters.StoreAnswer<R>,
    sentAtMs: number,
  ): R | Unavailable {
    const location = decisions.locateAnswer(this.timeline, timeline, sentAtMs);
    switch (location.kind) {
      case 'current':
        return result;
      case 'begun':
        this.beginTimeline(location.timeline);
        return result;
      case 'ended':
        this.count('answers_of_ended_timelines');
        return createUnavailableResult('the store has returned from a copy');
      case 'doubtful':
        this.reportDoubt(location.reason);
        return result.position === undefined
          ? result
          : {
              ...result,
              position: {
                ...result.position,
                timeline: this.timeline.timeline,
              },
            };
      default:
        return errors.throwUnreachable(location);
    }
  }

  private beginTimeline(timeline: entry.StoreTimeline): void {
    const previous = this.timeline.timeline;
    this.timeline = {timeline, sinceMs: this.nowMs()};
    const fields = {
      timeline: decisions.formatTimeline(timeline),
      previous: decisions.formatTimeline(previous),
    };
    switch (previous.kind) {
      case 'unnumbered':
        this.log('info', 'timelineNamed', fields);
        return;
      case 'numbered':
        this.count('store_returns');
        this.log('warn', 'timelineBegun', fields);
        for (const subscriber of this.timelineSubscribers)
          subscriber.post({kind: 'timelineBegun'});
        return;
      default:
        errors.throwUnreachable(previous);
    }
  }

  private reportDoubt(reason: string): void {
    this.count('answers_of_doubtful_timelines');
    if (this.nowMs() - this.doubtLoggedAtMs < DOUBT_LOG_INTERVAL_MS) return;
    this.doubtLoggedAtMs = this.nowMs();
    this.log('warn', 'timelineDoubtful', {
      reason,
      known: decisions.formatTimeline(this.timeline.timeline),
    });
  }

  private recordOutcome(result: CallOutcome): void {
    const isAvailable = result.kind !== 'unavailable';
    if (!isAvailable) this.count('platform_calls_failed');
    // Calls that fail because the adapter closes their connection don't indicate that the store is unavailable.
    if (this.isClosing || isAvailable === this.isAvailable) return;
    this.isAvailable = isAvailable;
    if (isAvailable) this.log('info', 'storeRegained', {});
    else this.log('warn', 'storeLost', {reason: result.reason ?? ''});
  }
}

function createUnavailableResult(reason: string): Unavailable {
  return {kind: 'unavailable', reason};
}
