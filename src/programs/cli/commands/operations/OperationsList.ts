import * as oclif from '@oclif/core';
import type * as operations from '../../../../model/operations/index.js';
import * as operatorCommands from '../../OperatorCommand.js';

interface ClaimsAnswer {
  readonly claims: readonly operations.Claim[];
}

/** Lists the claims of actions that run at most once. */
export class OperationsList extends operatorCommands.OperatorCommand {
  static override summary =
    'Lists actions that run at most once, by default only those without a known outcome.';
  static override examples = ['<%= config.bin %> operations list --all'];
  static override flags = {
    all: oclif.Flags.boolean({
      description: 'also lists actions with a known outcome',
      default: false,
    }),
    limit: oclif.Flags.integer({default: 1000}),
  };

  /** Runs the command. */
  async run(): Promise<readonly operations.Claim[]> {
    const {flags} = await this.parse(OperationsList);
    const client = this.getClient();
    const {claims} = await client.callOrThrow<ClaimsAnswer>({
      kind: 'listOperations',
      limit: flags.limit,
    });
    const listed = claims.filter(claim => flags.all || isUnsettled(claim));
    for (const claim of listed)
      this.logPairs({
        organisation: claim.organisationId,
        key: claim.keyDigestHex,
        state: claim.state.kind,
        attempt: claim.attemptId,
        settleableAfter: new Date(claim.dispatchDeadlineMs).toISOString(),
      });
    return listed;
  }
}

function isUnsettled(claim: operations.Claim): boolean {
  return claim.state.kind === 'claimed' || claim.state.kind === 'unknown';
}
