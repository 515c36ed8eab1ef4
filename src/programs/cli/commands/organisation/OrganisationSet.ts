import * as oclif from '@oclif/core';
import * as changeCommands from '../../ChangeCommand.js';

/** Creates an organisation or changes its name, rate and burst. */
export class OrganisationSet extends changeCommands.ChangeCommand {
  static override summary =
    'Creates an organisation or changes its name, rate and burst.';
  static override examples = [
    '<%= config.bin %> organisation set rustavi --name "Rustavi" --rate 20 --burst 5',
  ];
  static override args = {
    organisation: oclif.Args.string({required: true}),
  };
  static override flags = {
    ...changeCommands.CHANGE_FLAGS,
    name: oclif.Flags.string({description: 'the display name'}),
    rate: oclif.Flags.string({description: 'requests per second'}),
    burst: oclif.Flags.string({description: 'the largest burst, in requests'}),
  };

  /** Runs the command. */
  async run(): Promise<object> {
    const {args, flags} = await this.parse(OrganisationSet);
    const entry = {
      ...(flags.name === undefined ? {} : {name: flags.name}),
      ...(flags.rate === undefined ? {} : {ratePerSecond: Number(flags.rate)}),
      ...(flags.burst === undefined
        ? {}
        : {burstRequests: Number(flags.burst)}),
    };
    const patch = {organisations: {[args.organisation]: entry}};
    return await this.sendMergePatch(patch, flags);
  }
}
