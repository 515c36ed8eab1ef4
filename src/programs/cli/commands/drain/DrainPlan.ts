import * as oclif from '@oclif/core';
import * as changeCommands from '../../ChangeCommand.js';

const MS_PER_SECOND = 1000;

/** Plans the move of a region's callers to another region. */
export class DrainPlan extends changeCommands.ChangeCommand {
  static override summary =
    "Plans the move of a region's callers to another region.";
  static override examples = [
    '<%= config.bin %> drain plan night-works --from aqaba --to amman --cap 0.6 --in 60 --over 600',
  ];
  static override args = {drain: oclif.Args.string({required: true})};
  static override flags = {
    ...changeCommands.CHANGE_FLAGS,
    from: oclif.Flags.string({required: true}),
    to: oclif.Flags.string({required: true}),
    cap: oclif.Flags.string({
      description:
        "the largest fraction of the region's callers to move, from 0 to 1",
      required: true,
    }),
    in: oclif.Flags.integer({
      description: 'seconds until the move begins',
      default: 0,
    }),
    over: oclif.Flags.integer({
      description: 'seconds that the move takes',
      default: 60,
    }),
  };

  /** Runs the command. */
  async run(): Promise<object> {
    const {args, flags} = await this.parse(DrainPlan);
    const startAtMs = Date.now() + flags.in * MS_PER_SECOND;
    const entry = {
      fromRegion: flags.from,
      toRegion: flags.to,
      startAtMs,
      endAtMs: startAtMs + flags.over * MS_PER_SECOND,
      capFraction: Number(flags.cap),
    };
    return await this.sendMergePatch({shifts: {[args.drain]: entry}}, flags);
  }
}
