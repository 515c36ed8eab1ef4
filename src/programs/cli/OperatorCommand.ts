import * as oclif from '@oclif/core';
import * as errors from '../../model/errors/index.js';
import * as clients from './OperatorClient.js';

/** A command that sends requests to a daemon. */
export abstract class OperatorCommand extends oclif.Command {
  static override baseFlags = {
    daemon: oclif.Flags.string({
      description:
        "the address of any daemon's operators' listener, as host:port",
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

  /** Parses the flags that all operator commands share, and creates the client. */
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

  /** Returns the client of the daemon named by `--daemon`. @throws Error before `init` has run. */
  protected getClient(): clients.OperatorClient {
    if (this.client === undefined)
      throw new Error('the flags have not been parsed');
    return this.client;
  }

  /** Prints one line of key=value pairs; omits undefined values. */
  protected logPairs(pairs: Readonly<Record<string, unknown>>): void {
    const formattedPairs = Object.entries(pairs)
      .filter(([, value]) => value !== undefined)
      .map(([name, value]) => `${name}=${formatValue(value)}`);
    this.log(formattedPairs.join(' '));
  }

  /** Prints a BramleyrunError and sets the exit code of its kind; leaves other errors to oclif. */
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

function formatValue(value: unknown): string {
  if (typeof value === 'string' && /^[^\s"=]+$/.test(value)) return value;
  return JSON.stringify(value);
}
