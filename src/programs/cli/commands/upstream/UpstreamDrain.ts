import * as oclif from '@oclif/core';
import * as changeCommands from '../../ChangeCommand.js';

/** Drains an upstream, or puts it back into service. */
export class UpstreamDrain extends changeCommands.ChangeCommand {
  static override summary =
    'Sends no new requests to an upstream; requests in progress are finished.';
  static override examples = [
    '<%= config.bin %> upstream drain desk-1',
    '<%= config.bin %> upstream drain desk-1 --cancel',
  ];
  static override args = {upstream: oclif.Args.string({required: true})};
  static override flags = {
    ...changeCommands.CHANGE_FLAGS,
    cancel: oclif.Flags.boolean({
      description: 'puts the upstream back into service',
      default: false,
    }),
  };

  /** Runs the command. */
  async run(): Promise<object> {
    const {args, flags} = await this.parse(UpstreamDrain);
    const status = flags.cancel ? 'active' : 'draining';
    return await this.sendMergePatch(
      {upstreams: {[args.upstream]: {status}}},
      flags,
    );
  }
}
