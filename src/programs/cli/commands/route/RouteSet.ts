import * as oclif from '@oclif/core';
import * as changeCommands from '../../ChangeCommand.js';

const DEFAULT_BUDGET_MS = 5000;

/** Creates a route or replaces it. */
export class RouteSet extends changeCommands.ChangeCommand {
  static override summary = 'Creates a route or replaces it.';
  static override examples = [
    '<%= config.bin %> route set doors --prefix /doors --service door-control --at-most-once',
  ];
  static override args = {route: oclif.Args.string({required: true})};
  static override flags = {
    ...changeCommands.CHANGE_FLAGS,
    prefix: oclif.Flags.string({
      description: 'the prefix of the request path',
      required: true,
    }),
    service: oclif.Flags.string({required: true}),
    open: oclif.Flags.boolean({
      description: 'admits requests without an API key',
      default: false,
    }),
    'at-most-once': oclif.Flags.boolean({
      description: 'runs each request at most once',
      default: false,
    }),
    'budget-ms': oclif.Flags.integer({
      description: 'the time limit for answering a request, in milliseconds',
      default: DEFAULT_BUDGET_MS,
    }),
  };

  /** Runs the command. */
  async run(): Promise<object> {
    const {args, flags} = await this.parse(RouteSet);
    const entry = {
      pathPrefix: flags.prefix,
      serviceId: flags.service,
      access: flags.open ? 'open' : 'keyed',
      execution: flags['at-most-once'] ? 'atMostOnce' : 'idempotent',
      budgetMs: flags['budget-ms'],
    };
    return await this.sendMergePatch({routes: {[args.route]: entry}}, flags);
  }
}
