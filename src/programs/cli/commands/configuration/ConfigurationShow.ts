import type * as configurations from '../../../../model/configuration/index.js';
import * as operatorCommands from '../../OperatorCommand.js';

/** Shows the configuration in force. */
export class ConfigurationShow extends operatorCommands.OperatorCommand {
  static override summary = 'Shows the configuration in force.';
  static override examples = ['<%= config.bin %> configuration show --json'];

  /** Runs the command. */
  async run(): Promise<configurations.Configuration> {
    const client = this.getClient();
    const configuration =
      await client.callOrThrow<configurations.Configuration>({
        kind: 'showConfiguration',
      });
    this.log(JSON.stringify(configuration, undefined, 2));
    return configuration;
  }
}
