import * as oclif from '@oclif/core';
import * as changeCommands from '../../ChangeCommand.js';

/** Adds an upstream or replaces it. */
export class UpstreamSet extends changeCommands.ChangeCommand {
  static override summary = 'Adds an upstream or replaces it.';
  static override examples = [
    '<%= config.bin %> upstream set desk-1 --service locker-desk --address 10.0.0.7:8080 --region amman --failure-domain amman-a --slots 7',
  ];
  static override args = {upstream: oclif.Args.string({required: true})};
  static override flags = {
    ...changeCommands.CHANGE_FLAGS,
    service: oclif.Flags.string({required: true}),
    address: oclif.Flags.string({
      description: 'the address of the upstream, as host:port',
      required: true,
    }),
    region: oclif.Flags.string({required: true}),
    'failure-domain': oclif.Flags.string({required: true}),
    slots: oclif.Flags.integer({
      description:
        'the number of requests that the upstream runs at the same time',
      required: true,
    }),
  };

  /** Runs the command. */
  async run(): Promise<object> {
    const {args, flags} = await this.parse(UpstreamSet);
    const [host, port] = flags.address.split(':');
    const entry = {
      serviceId: flags.service,
      host,
      port: Number(port),
      region: flags.region,
      failureDomain: flags['failure-domain'],
      slotCount: flags.slots,
      status: 'active',
    };
    return await this.sendMergePatch(
      {upstreams: {[args.upstream]: entry}},
      flags,
    );
  }
}
