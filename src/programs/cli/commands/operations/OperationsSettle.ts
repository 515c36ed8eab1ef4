import * as oclif from '@oclif/core';
import * as operatorCommands from '../../OperatorCommand.js';

/** Records the outcome of an at-most-once action whose outcome is unknown. */
export class OperationsSettle extends operatorCommands.OperatorCommand {
  static override summary =
    'Records whether an action whose outcome is unknown has run.';
  static override examples = [
    '<%= config.bin %> operations settle rustavi 9f86d0… --not-run',
  ];
  static override args = {
    organisation: oclif.Args.string({required: true}),
    key: oclif.Args.string({
      description:
        'the digest of the idempotency key, as shown by operations list',
      required: true,
    }),
  };
  static override flags = {
    run: oclif.Flags.boolean({
      description: 'the action has run and must never run again',
      exactlyOne: ['run', 'not-run'],
    }),
    'not-run': oclif.Flags.boolean({
      description: 'the action has not run; a repeated request may run it',
    }),
  };

  /** Runs the command. */
  async run(): Promise<object> {
    const {args, flags} = await this.parse(OperationsSettle);
    const client = this.getClient();
    const result = await client.callOrThrow<object>({
      kind: 'settleOperation',
      organisationId: args.organisation,
      keyDigestHex: args.key,
      hasRun: flags.run ?? false,
    });
    this.logPairs({status: 'settled'});
    return result;
  }
}
