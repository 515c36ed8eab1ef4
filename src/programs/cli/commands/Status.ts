import type * as services from '../../../services/fleet/index.js';
import * as operatorCommands from '../OperatorCommand.js';

interface StatusAnswer {
  readonly configurationVersion: number;
  readonly vms: readonly services.VmStatus[];
}

/** Shows the state of the fleet in one line. */
export class Status extends operatorCommands.OperatorCommand {
  static override summary = 'Shows the state of the fleet in one line.';
  static override examples = ['<%= config.bin %> status'];

  /** Runs the command. */
  async run(): Promise<StatusAnswer> {
    const client = this.getClient();
    const answer = await client.callOrThrow<StatusAnswer>({kind: 'showStatus'});
    const {vms, configurationVersion} = answer;
    const behind = vms.filter(
      vm => vm.configurationVersion < configurationVersion,
    );
    this.logPairs({
      version: configurationVersion,
      vms: vms.length,
      answering: vms.filter(vm => vm.isAnswering).length,
      slotsHeld: vms.filter(vm => vm.slotIndex !== undefined).length,
      behind: behind.map(vm => vm.vm.vmId).join() || undefined,
    });
    return answer;
  }
}
