import * as oclif from '@oclif/core';
import type * as decisions from '../../../decisions/index.js';
import * as operatorCommands from '../OperatorCommand.js';

/** Shows the VMs that a steering answer would name to a caller, and the reason for each. */
export class Steer extends operatorCommands.OperatorCommand {
  static override summary =
    'Shows the VMs to which a caller would be steered, and why.';
  static override examples = [
    '<%= config.bin %> steer 10.1.2.3 --organisation rustavi',
  ];
  static override args = {
    address: oclif.Args.string({
      description: "the caller's IPv4 address",
      required: true,
    }),
  };
  static override flags = {
    organisation: oclif.Flags.string({default: ''}),
  };

  /** Runs the command. */
  async run(): Promise<decisions.SteeringAnswer> {
    const {args, flags} = await this.parse(Steer);
    const client = this.getClient();
    const answer = await client.callOrThrow<decisions.SteeringAnswer>({
      kind: 'steer',
      clientAddress: args.address,
      organisationId: flags.organisation,
    });
    for (const choice of answer.choices) this.logPairs({...choice});
    return answer;
  }
}
