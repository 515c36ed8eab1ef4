import * as oclif from '@oclif/core';
import * as codecs from '../../../../codecs/configuration/index.js';
import * as changeCommands from '../../ChangeCommand.js';
import * as textFiles from '../../readText.js';

/** Applies a patch to the configuration. */
export class ConfigurationPatch extends changeCommands.ChangeCommand {
  static override summary =
    'Applies a JSON Patch (an array) or a merge patch (an object) to the configuration.';
  static override examples = [
    '<%= config.bin %> configuration patch change.json --if-version 12',
    'echo \'{"organisations":{"x":null}}\' | <%= config.bin %> configuration patch - --dry-run',
  ];
  static override args = {
    file: oclif.Args.string({
      description: 'the file with the patch, or - for standard input',
      required: true,
    }),
  };
  static override flags = changeCommands.CHANGE_FLAGS;

  /** Runs the command. */
  async run(): Promise<object> {
    const {args, flags} = await this.parse(ConfigurationPatch);
    const patch = codecs.parsePatch(await textFiles.readText(args.file));
    return await this.sendPatch(patch, flags);
  }
}
