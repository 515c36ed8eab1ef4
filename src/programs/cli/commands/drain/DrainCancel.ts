import * as oclif from '@oclif/core';
import * as changeCommands from '../../ChangeCommand.js';

/** Cancels a planned move of callers; callers that have moved return when their steering answers expire. */
export class DrainCancel extends changeCommands.ChangeCommand {
  static override summary = 'Cancels a planned move of callers.';
  static override examples = ['<%= config.bin %> drain cancel night-works'];
  static override args = {drain: oclif.Args.string({required: true})};
  static override flags = changeCommands.CHANGE_FLAGS;

  /** Runs the command. */
  async run(): Promise<object> {
    const {args, flags} = await this.parse(DrainCancel);
    return await this.sendMergePatch({shifts: {[args.drain]: null}}, flags);
  }
}
