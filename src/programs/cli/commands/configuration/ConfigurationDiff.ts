import * as oclif from '@oclif/core';
import * as jsonPatch from 'rfc6902';
import * as codecs from '../../../../codecs/configuration/index.js';
import type * as configurations from '../../../../model/configuration/index.js';
import * as operatorCommands from '../../OperatorCommand.js';
import * as textFiles from '../../readText.js';

/** Shows what a patch would change in the newest configuration. */
export class ConfigurationDiff extends operatorCommands.OperatorCommand {
  static override summary = 'Shows what a patch would change, as a JSON Patch.';
  static override examples = [
    '<%= config.bin %> configuration diff change.json',
  ];
  static override args = {
    file: oclif.Args.string({
      description: 'the file with the patch, or - for standard input',
      required: true,
    }),
  };

  /** Runs the command. */
  async run(): Promise<readonly object[]> {
    const {args} = await this.parse(ConfigurationDiff);
    const patch = codecs.parsePatch(await textFiles.readText(args.file));
    const client = this.getClient();
    const current = await client.callOrThrow<configurations.Configuration>({
      kind: 'showConfiguration',
    });
    const patched = codecs.applyPatch(current.document, patch);
    const operations = jsonPatch.createPatch(current.document, patched);
    for (const operation of operations) this.log(JSON.stringify(operation));
    return operations;
  }
}
