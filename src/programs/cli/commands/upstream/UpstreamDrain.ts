import * as oclif from '@oclif/core';
import * as changeCommands from '../../ChangeCommand.js';

/** Takes an upstream out of service, or puts it back. */
export class UpstreamDrain extends changeCommands.ChangeCommand {
  static override summary =
    'Gives an upstream no new work; work under way is finished.';
  static override examples = [
    '<%= config.bin %> upstream drain desk-1',
    '<%= config.bin %> upstream drain desk-1 --cancel',
  ];
  static override args = {upstream: oclif.Args.string({required: true})};
  static override flags = {
    ...changeCommands.CHANGE_FLAGS,
    cancel: oclif.Flags.boolean({
      description: 'gives it new work again',
      default: false,
    }),
  };

  /** Runs the command. */
  async run(): Promise<object> {
    const {args, flags} = await this.parse(UpstreamDrain);
    const status = flags.cancel ? 'active' : 'draining';
    return await this.merge({upstreams: {[args.upstream]: {status}}}, flags);
  }
}
