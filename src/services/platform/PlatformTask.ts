import * as kernel from '../../kernel/index.js';
import * as errors from '../../model/errors/index.js';
import * as base from '../base/index.js';
import type * as adapters from './adapters/PlatformAdapter.js';
import type * as messages from './PlatformMessage.js';

/** Results that tell of a platform that did not do its part. */
const FAILED_KINDS: ReadonlySet<string> = new Set([
  'unavailable',
  'outcomeUnknown',
]);

interface Outcome {
  readonly kind: string;
}

/** Owns the connections to the platform. */
export class PlatformTask extends base.ServiceTask<messages.PlatformMessage> {
  private readonly adapter: adapters.PlatformAdapter;

  /** @param adapter How this deployment's platform is met. */
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
        this.run(this.adapter.read(message.request), message.reply, {
          kind: 'unavailable',
        });
        return;
      case 'transact':
        this.run(this.adapter.transact(message.transaction), message.reply, {
          kind: 'outcomeUnknown',
        });
        return;
      case 'putObject':
        this.run(
          this.adapter.putObject(message.name, message.text),
          message.reply,
          {kind: 'unavailable'},
        );
        return;
      case 'getObject':
        this.run(this.adapter.getObject(message.name), message.reply, {
          kind: 'unavailable',
        });
        return;
      case 'listVms':
        this.run(this.adapter.listVms(), message.reply, {
          kind: 'unavailable',
        });
        return;
      default:
        errors.throwUnreachable(message);
    }
  }

  private run<R extends Outcome>(
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
