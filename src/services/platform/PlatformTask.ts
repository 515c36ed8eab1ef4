import * as kernel from '../../kernel/index.js';
import * as errors from '../../model/errors/index.js';
import * as base from '../base/index.js';
import * as logs from '../logs/index.js';
import * as metrics from '../metrics/index.js';
import type * as adapters from './adapters/PlatformAdapter.js';
import type * as messages from './PlatformMessage.js';

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
    const {clock, services} = this.getContext();
    const startedAtMs = clock.monotonicMs();
    const finish = (result: R) => {
      services.getOrThrow(metrics.METRICS).post({
        kind: 'observe',
        name: 'platform_ms',
        valueMs: clock.monotonicMs() - startedAtMs,
      });
      reply(result);
    };
    call.then(finish, thrown => {
      this.logFailure(thrown);
      finish(failed);
    });
  }

  private logFailure(thrown: unknown): void {
    const error = errors.toError(thrown);
    this.getService(logs.LOG).post({
      kind: 'event',
      level: 'warn',
      name: 'platformFailed',
      fields: {error: error.kind, message: error.message},
    });
  }
}
