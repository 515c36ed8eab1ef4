import type * as services from '../../../../services/fleet/index.js';
import * as operatorCommands from '../../OperatorCommand.js';

/** Lists the VMs of the fleet with the state that the queried VM has of each. */
export class VmList extends operatorCommands.OperatorCommand {
  static override summary =
    'Lists the VMs of the fleet as seen by the queried VM.';
  static override examples = ['<%= config.bin %> vm list'];

  /** Runs the command. */
  async run(): Promise<readonly services.VmStatus[]> {
    const client = this.getClient();
    const statuses = await client.callOrThrow<readonly services.VmStatus[]>({
      kind: 'listVms',
    });
    for (const status of statuses)
      this.logPairs({
        vm: status.vm.vmId,
        region: status.vm.region,
        failureDomain: status.vm.failureDomain,
        slot: status.slotIndex ?? 'none',
        answering: status.isAnswering,
        stopping: status.isStopping,
        version: status.configurationVersion,
        callers: status.vm.callersAddress,
      });
    return statuses;
  }
}
