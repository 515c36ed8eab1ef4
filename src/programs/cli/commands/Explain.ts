import * as oclif from '@oclif/core';
import type * as services from '../../../services/callers/index.js';
import * as operatorCommands from '../OperatorCommand.js';

/** Shows why the queried VM refused an organisation's most recent requests. */
export class Explain extends operatorCommands.OperatorCommand {
  static override summary =
    "Shows why the queried VM refused an organisation's most recent requests.";
  static override examples = ['<%= config.bin %> explain rustavi'];
  static override args = {
    organisation: oclif.Args.string({required: true}),
  };

  /** Runs the command. */
  async run(): Promise<readonly services.Refusal[]> {
    const {args} = await this.parse(Explain);
    const client = this.getClient();
    const refusals = await client.callOrThrow<readonly services.Refusal[]>({
      kind: 'explain',
      organisationId: args.organisation,
    });
    for (const refusal of refusals)
      this.logPairs({
        at: new Date(refusal.refusedAtMs).toISOString(),
        error: refusal.error,
        message: refusal.message,
        request: refusal.requestId,
      });
    return refusals;
  }
}
