import * as oclif from '@oclif/core';
import * as changeCommands from '../../ChangeCommand.js';

/** Withdraws an API key. */
export class KeyWithdraw extends changeCommands.ChangeCommand {
  static override summary = 'Withdraws an API key on all VMs.';
  static override examples = ['<%= config.bin %> key withdraw k7'];
  static override args = {key: oclif.Args.string({required: true})};
  static override flags = changeCommands.CHANGE_FLAGS;

  /** Runs the command. */
  async run(): Promise<object> {
    const {args, flags} = await this.parse(KeyWithdraw);
    const patch = {keys: {[args.key]: {status: 'withdrawn'}}};
    return await this.sendMergePatch(patch, flags);
  }
}
