import * as oclif from '@oclif/core';
import * as operatorCommands from '../../OperatorCommand.js';

/** Settles an action whose outcome is unknown. */
export class OperationsSettle extends operatorCommands.OperatorCommand {
  static override summary =
    'Says whether an action whose outcome is unknown has run.';
  static override examples = [
    '<%= config.bin %> operations settle rustavi 9f86d0… --not-run',
  ];
  static override args = {
    organisation: oclif.Args.string({required: true}),
    key: oclif.Args.string({
      description: 'the digest of the idempotency key, as listed',
      required: true,
    }),
  };
  static override flags = {
    run: oclif.Flags.boolean({
      description: 'it has run: it is never run again',
      exactlyOne: ['run', 'not-run'],
    }),
    'not-run': oclif.Flags.boolean({
      description: 'it has not run: a repeat runs it',
    }),
  };

  /** Runs the command. */
  async run(): Promise<object> {
    const {args, flags} = await this.parse(OperationsSettle);
    const client = this.getClient();
    const result = await client.askOrThrow<object>({
      kind: 'settleOperation',
      organisationId: args.organisation,
      keyDigestHex: args.key,
      hasRun: flags.run ?? false,
    });
    this.logPairs({status: 'settled'});
    return result;
  }
}
