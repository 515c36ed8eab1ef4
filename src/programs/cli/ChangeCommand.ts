import * as crypto from 'node:crypto';
import * as oclif from '@oclif/core';
import type * as configurations from '../../model/configuration/index.js';
import type * as errors from '../../model/errors/index.js';
import type * as services from '../../services/configuration/index.js';
import * as operatorCommands from './OperatorCommand.js';

/** The daemon's answer to a change that did not fail; a failure arrives as an error of the JSON-RPC response. */
type ChangeResult = Exclude<
  services.PatchResult,
  {readonly kind: 'failed'; readonly error: errors.BramleyrunError}
>;

/** Flags of every command that changes the configuration. */
export const CHANGE_FLAGS = {
  'if-version': oclif.Flags.integer({
    description: 'the configuration version to which the change applies',
  }),
  'dry-run': oclif.Flags.boolean({
    description: 'checks the change without making it',
    default: false,
  }),
};

/** The parsed values of `CHANGE_FLAGS`. */
export interface ChangeOptions {
  readonly 'if-version'?: number | undefined;
  readonly 'dry-run': boolean;
}

/** A command that changes the configuration. */
export abstract class ChangeCommand extends operatorCommands.OperatorCommand {
  /** Sends a JSON merge patch and prints the result. @throws BramleyrunError when the change fails. */
  protected async sendMergePatch(
    patch: object,
    options: ChangeOptions,
  ): Promise<ChangeResult> {
    return await this.sendPatch({kind: 'mergePatch', patch}, options);
  }

  /**
   * Sends a patch against the version given by `--if-version`, or against the newest one, and prints the result.
   * @throws BramleyrunError when the change fails.
   */
  protected async sendPatch(
    patch: configurations.ConfigurationPatch,
    options: ChangeOptions,
  ): Promise<ChangeResult> {
    const client = this.getClient();
    const baseVersion =
      options['if-version'] ??
      (
        await client.callOrThrow<configurations.Configuration>({
          kind: 'showConfiguration',
        })
      ).version;
    const result = await client.callOrThrow<ChangeResult>({
      kind: 'patch',
      baseVersion,
      patch,
      isDryRun: options['dry-run'],
      changeId: crypto.randomUUID(),
    });
    this.logResult(result);
    return result;
  }

  private logResult(result: ChangeResult): void {
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
