import type * as kernel from '../../kernel/index.js';
import * as errors from '../../model/errors/index.js';
import * as base from '../base/index.js';
import type * as adapters from './StoreAdapter.js';
import type * as messages from './StoreMessage.js';

/**
 * How long in milliseconds an answer of the store is waited for: well above a slow store's answers,
 * and within the bounds on configuration and leaving upstreams.
 */
const ANSWER_TIMEOUT_MS = 900;

interface Outcome {
  readonly kind: string;
  readonly reason?: string;
}

/** Owns the connections to the platform's store, and says when it is lost and regained. */
export class StoreTask extends base.ServiceTask<messages.StoreMessage> {
  private readonly adapter: adapters.StoreAdapter;
  private isAvailable = true;
  private isClosing = false;

  /** @param adapter How this platform's store is met. */
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
      case 'readOperatorRows':
        this.run(
          adapter.readOperatorRows(ANSWER_TIMEOUT_MS),
          message.reply,
          getUnavailable,
        );
        return;
      case 'awaitOperatorRows':
        this.run(
          adapter.awaitOperatorRows(
            message.afterTableVersion,
            message.waitMs,
            Math.max(0, Math.ceil(message.deadlineMs - this.nowMs())),
          ),
          message.reply,
          getUnavailable,
        );
        return;
      case 'readUpstreamRows':
        this.run(
          adapter.readUpstreamRows(ANSWER_TIMEOUT_MS),
          message.reply,
          getUnavailable,
        );
        return;
      case 'readMembers':
        this.run(
          adapter.readMembers(ANSWER_TIMEOUT_MS),
          message.reply,
          getUnavailable,
        );
        return;
      case 'awaitMembers':
        this.run(
          adapter.awaitMembers(
            message.afterTableVersion,
            message.waitMs,
            message.waitMs + ANSWER_TIMEOUT_MS,
          ),
          message.reply,
          getUnavailable,
        );
        return;
      case 'writeMember':
        this.run(
          adapter.writeMember(message.member, ANSWER_TIMEOUT_MS),
          message.reply,
          getUnavailable,
        );
        return;
      case 'removeMember':
        this.run(
          adapter.removeMember(message.vmId, ANSWER_TIMEOUT_MS),
          message.reply,
          getUnavailable,
        );
        return;
      default:
        errors.throwUnreachable(message);
    }
  }

  private run<R extends Outcome>(
    call: Promise<R>,
    reply: kernel.Reply<R>,
    getFailure: (reason: string) => R,
  ): void {
    const startedAtMs = this.nowMs();
    const finish = (result: R) => {
      this.observe('platform_ms', this.nowMs() - startedAtMs);
      this.count('platform_calls');
      this.noteOutcome(result);
      reply(result);
    };
    call.then(finish, (thrown: unknown) =>
      finish(getFailure(errors.toError(thrown).message)),
    );
  }

  private noteOutcome(result: Outcome): void {
    const isAvailable = result.kind !== 'unavailable';
    if (!isAvailable) this.count('platform_calls_failed');
    // Calls that the close of their connection ends say nothing of the store.
    if (this.isClosing || isAvailable === this.isAvailable) return;
    this.isAvailable = isAvailable;
    if (isAvailable) this.log('info', 'storeRegained', {});
    else this.log('warn', 'storeLost', {reason: result.reason ?? ''});
  }
}

function getUnavailable(reason: string): {
  readonly kind: 'unavailable';
  readonly reason: string;
} {
  return {kind: 'unavailable', reason};
}
