import * as crypto from 'node:crypto';
import * as oclif from '@oclif/core';
import type * as configurations from '../../model/configuration/index.js';
import type * as errors from '../../model/errors/index.js';
import type * as services from '../../services/configuration/index.js';
import * as operatorCommands from './OperatorCommand.js';

/** How a change ended, as the daemon sends it. */
type ChangeResult = Exclude<
  services.PatchResult,
  {readonly kind: 'failed'; readonly error: errors.BramleyrunError}
>;

/** Flags of every command that changes the configuration. */
export const CHANGE_FLAGS = {
  'if-version': oclif.Flags.integer({
    description: 'the version that the change is made against',
  }),
  'dry-run': oclif.Flags.boolean({
    description: 'only checks the change',
    default: false,
  }),
};

/** What the flags of a change say. */
export interface ChangeOptions {
  readonly 'if-version'?: number | undefined;
  readonly 'dry-run': boolean;
}

/** A command that changes the configuration. */
export abstract class ChangeCommand extends operatorCommands.OperatorCommand {
  /** Sends a merge patch. */
  protected async merge(
    patch: object,
    options: ChangeOptions,
  ): Promise<ChangeResult> {
    return await this.change({kind: 'mergePatch', patch}, options);
  }

  /** Sends a patch against the version that the flags name, or the newest one. */
  protected async change(
    patch: configurations.ConfigurationPatch,
    options: ChangeOptions,
  ): Promise<ChangeResult> {
    const client = this.getClient();
    const baseVersion =
      options['if-version'] ??
      (
        await client.askOrThrow<configurations.Configuration>({
          kind: 'showConfiguration',
        })
      ).version;
    const result = await client.askOrThrow<ChangeResult>({
      kind: 'patch',
      baseVersion,
      patch,
      isDryRun: options['dry-run'],
      changeId: crypto.randomUUID(),
    });
    this.logChange(result);
    return result;
  }

  private logChange(result: ChangeResult): void {
    if (result.kind === 'valid') {
      this.logPairs({status: 'valid', version: result.configuration.version});
      return;
    }
    const {isAccepted, inForceVmIds, missingVmIds} = result.spread;
    this.logPairs({
      status: isAccepted ? 'accepted' : 'committed',
      version: result.version,
      inForce: inForceVmIds.length,
      missing: missingVmIds.join() || undefined,
    });
  }
}
