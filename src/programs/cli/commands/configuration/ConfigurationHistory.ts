import * as oclif from '@oclif/core';
import type * as configurations from '../../../../model/configuration/index.js';
import * as operatorCommands from '../../OperatorCommand.js';

interface HistoryAnswer {
  readonly records: readonly configurations.AuditRecord[];
}

/** Shows the audit trail of configuration changes. */
export class ConfigurationHistory extends operatorCommands.OperatorCommand {
  static override summary =
    'Shows the audit trail of configuration changes, oldest first.';
  static override examples = [
    '<%= config.bin %> configuration history --after 10',
  ];
  static override flags = {
    after: oclif.Flags.integer({
      description: 'only versions after this one',
      default: 0,
    }),
    limit: oclif.Flags.integer({
      description: 'the largest number of records to show',
      default: 100,
    }),
  };

  /** Runs the command. */
  async run(): Promise<readonly configurations.AuditRecord[]> {
    const {flags} = await this.parse(ConfigurationHistory);
    const client = this.getClient();
    const {records} = await client.callOrThrow<HistoryAnswer>({
      kind: 'history',
      afterVersion: flags.after,
      limit: flags.limit,
    });
    for (const record of records)
      this.logPairs({
        version: record.version,
        from: record.baseVersion,
        operator: record.operatorId,
        at: new Date(record.changedAtMs).toISOString(),
        patch: record.patch,
      });
    return records;
  }
}
