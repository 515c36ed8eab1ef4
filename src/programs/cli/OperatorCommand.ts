import * as oclif from '@oclif/core';
import * as errors from '../../model/errors/index.js';
import * as clients from './OperatorClient.js';

/** A command that speaks with a daemon. */
export abstract class OperatorCommand extends oclif.Command {
  static override baseFlags = {
    daemon: oclif.Flags.string({
      description: "the operators' listener of any daemon, as host:port",
      env: 'BRAMLEYRUN_DAEMON',
      required: true,
    }),
    token: oclif.Flags.string({
      description: "the operator's token",
      env: 'BRAMLEYRUN_TOKEN',
      required: true,
    }),
  };

  static override enableJsonFlag = true;

  private client: clients.OperatorClient | undefined;

  /** Reads the flags that every command has. */
  override async init(): Promise<void> {
    await super.init();
    const {flags} = await this.parse({
      flags: this.ctor.flags,
      baseFlags: OperatorCommand.baseFlags,
      enableJsonFlag: this.ctor.enableJsonFlag,
      args: this.ctor.args,
      strict: this.ctor.strict,
    });
    this.client = new clients.OperatorClient(flags.daemon, flags.token);
  }

  /** Gets a connection to the daemon that the flags name. */
  protected getClient(): clients.OperatorClient {
    if (this.client === undefined) throw new Error('the flags are not read');
    return this.client;
  }

  /** Prints one line of key=value pairs. */
  protected logPairs(pairs: Readonly<Record<string, unknown>>): void {
    const texts = Object.entries(pairs)
      .filter(([, value]) => value !== undefined)
      .map(([name, value]) => `${name}=${toText(value)}`);
    this.log(texts.join(' '));
  }

  /** Ends the command with the exit code of the error's kind. */
  protected override async catch(thrown: Error): Promise<void> {
    if (!(thrown instanceof errors.BramleyrunError))
      return await super.catch(thrown);
    const {exitCode} = errors.ERROR_ANSWERS[thrown.kind];
    const {kind, fieldPath, message} = thrown;
    if (this.jsonEnabled()) {
      this.logJson({error: kind, message, fieldPath: fieldPath || undefined});
      process.exitCode = exitCode;
      return;
    }
    this.error(`${kind}: ${message}`, {exit: exitCode});
  }
}

function toText(value: unknown): string {
  if (typeof value === 'string' && /^[^\s"=]+$/.test(value)) return value;
  return JSON.stringify(value);
}
