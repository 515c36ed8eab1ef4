import * as decisions from '../../../../decisions/index.js';
import type * as configurations from '../../../../model/configuration/index.js';
import * as operatorCommands from '../../OperatorCommand.js';

/** Shows the progress of planned moves of callers. */
export class DrainStatus extends operatorCommands.OperatorCommand {
  static override summary = 'Shows the progress of planned moves of callers.';
  static override examples = ['<%= config.bin %> drain status'];

  /** Runs the command. */
  async run(): Promise<readonly object[]> {
    const client = this.getClient();
    const {document} = await client.callOrThrow<configurations.Configuration>({
      kind: 'showConfiguration',
    });
    const nowMs = Date.now();
    const lines = Object.entries(document.shifts).map(([drain, shift]) => ({
      drain,
      from: shift.fromRegion,
      to: shift.toRegion,
      movedFraction: decisions.getShiftFraction(shift, nowMs),
      capFraction: shift.capFraction,
      endsAt: new Date(shift.endAtMs).toISOString(),
    }));
    for (const line of lines) this.logPairs(line);
    return lines;
  }
}
