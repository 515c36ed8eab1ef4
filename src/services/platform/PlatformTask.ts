import * as kernel from '../../kernel/index.js';
import * as errors from '../../model/errors/index.js';
import * as base from '../base/index.js';
import type * as adapters from './adapters/PlatformAdapter.js';
import type * as messages from './PlatformMessage.js';

/** The result kinds that are counted as failed platform calls. */
const FAILED_KINDS: ReadonlySet<string> = new Set([
  'unavailable',
  'outcomeUnknown',
]);

interface PlatformResult {
  readonly kind: string;
}

/** Owns the platform adapter and its connections; counts, times and logs the calls. */
export class PlatformTask extends base.ServiceTask<messages.PlatformMessage> {
  private readonly adapter: adapters.PlatformAdapter;

  /** @param adapter The client for the platform of this deployment. */
  constructor(adapter: adapters.PlatformAdapter) {
    super();
    this.adapter = adapter;
  }

  protected override async onStop(): Promise<void> {
    await this.adapter.close();
  }

  protected override receive(message: messages.PlatformMessage): void {
    switch (message.kind) {
      case 'read':
        this.runCall(this.adapter.read(message.request), message.reply, {
          kind: 'unavailable',
        });
        return;
      case 'transact':
        this.runCall(
          this.adapter.transact(message.transaction),
          message.reply,
          {
            kind: 'outcomeUnknown',
          },
        );
        return;
      case 'putObject':
        this.runCall(
          this.adapter.putObject(message.name, message.text),
          message.reply,
          {kind: 'unavailable'},
        );
        return;
      case 'getObject':
        this.runCall(this.adapter.getObject(message.name), message.reply, {
          kind: 'unavailable',
        });
        return;
      case 'listVms':
        this.runCall(this.adapter.listVms(), message.reply, {
          kind: 'unavailable',
        });
        return;
      default:
        errors.throwUnreachable(message);
    }
  }

  /** Replies with the result of a call, or with `failed` when the call throws. Counts and times the call. */
  private runCall<R extends PlatformResult>(
    call: Promise<R>,
    reply: kernel.Reply<R>,
    failed: R,
  ): void {
    const startedAtMs = this.nowMs();
    const finish = (result: R) => {
      this.observe('platform_ms', this.nowMs() - startedAtMs);
      this.count('platform_calls');
      if (FAILED_KINDS.has(result.kind)) this.count('platform_calls_failed');
      reply(result);
    };
    call.then(finish, thrown => {
      this.logFailure(thrown);
      finish(failed);
    });
  }

  private logFailure(thrown: unknown): void {
    const error = errors.toError(thrown);
    const {kind, message} = error;
    this.log('warn', 'platformFailed', {error: kind, message});
  }
}
