import * as crypto from 'node:crypto';
import * as oclif from '@oclif/core';
import * as codecs from '../../../../codecs/http/index.js';
import * as changeCommands from '../../ChangeCommand.js';

const KEY_BYTES = 32;

/** Creates an API key for an organisation. */
export class KeyCreate extends changeCommands.ChangeCommand {
  static override summary =
    'Creates an API key and shows it once; only its digest is stored.';
  static override examples = [
    '<%= config.bin %> key create k7 --organisation rustavi',
  ];
  static override args = {key: oclif.Args.string({required: true})};
  static override flags = {
    ...changeCommands.CHANGE_FLAGS,
    organisation: oclif.Flags.string({required: true}),
  };

  /** Runs the command. */
  async run(): Promise<object> {
    const {args, flags} = await this.parse(KeyCreate);
    const key = crypto.randomBytes(KEY_BYTES).toString('base64url');
    const entry = {
      organisationId: flags.organisation,
      digestSha256Hex: codecs.getTextDigestHex(key),
      status: 'granted',
    };
    const result = await this.sendMergePatch(
      {keys: {[args.key]: entry}},
      flags,
    );
    this.logPairs({key});
    return {...result, key};
  }
}
