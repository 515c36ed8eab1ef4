import * as kernel from '../../kernel/index.js';
import type * as configurations from '../../model/configuration/index.js';
import type * as errors from '../../model/errors/index.js';
import type * as fleetService from '../fleet/index.js';

/** Notifies a subscriber that a new configuration version is in force in this process. */
export interface ConfigurationChanged {
  readonly kind: 'configurationChanged';
  readonly configuration: configurations.Configuration;
}

/** An operator's command to change the configuration. */
export interface PatchCommand {
  /** The version that the patch applies to; must be the newest version. */
  readonly baseVersion: number;

  readonly patch: configurations.ConfigurationPatch;
  readonly operatorId: string;

  /** The id of the change. A command that is sent again unchanged, with the same id, is not committed twice. */
  readonly changeId: string;

  /** Whether the patch is only validated and not committed. */
  readonly isDryRun: boolean;
}

/** The result of a command to change the configuration. */
export type PatchResult =
  /** A dry run succeeded: the patch is valid and nothing was committed. */
  | {
      readonly kind: 'valid';
      readonly configuration: configurations.Configuration;
    }
  /** The new version is committed to the platform's table; `spread` lists the VMs on which it is in force already. */
  | {
      readonly kind: 'committed';
      readonly version: number;
      readonly spread: fleetService.VersionSpread;
    }
  | {readonly kind: 'failed'; readonly error: errors.BramleyrunError};

/** The result of reading the audit trail. */
export type HistoryResult =
  | {
      readonly kind: 'records';
      readonly records: readonly configurations.AuditRecord[];
    }
  | {readonly kind: 'failed'; readonly error: errors.BramleyrunError};

/** The messages that the configuration service accepts. */
export type ConfigurationMessage =
  | {
      readonly kind: 'subscribe';
      readonly subscriber: kernel.Address<ConfigurationChanged>;
    }
  /** Reads the newest version from the platform's table. */
  | {readonly kind: 'poll'}
  /** A peer reported a newer version of the configuration or of the fleet map than this process has. */
  | {readonly kind: 'newerAtPeer'; readonly peersAddress: string}
  | {
      readonly kind: 'getCurrent';
      readonly reply: kernel.Reply<configurations.Configuration>;
    }
  /** Validates a change, commits it unless it is a dry run, and waits until it is in force on the other VMs. */
  | {
      readonly kind: 'patch';
      readonly command: PatchCommand;
      readonly reply: kernel.Reply<PatchResult>;
    }
  /** Returns up to `limit` audit records of the versions after `afterVersion`, oldest first. */
  | {
      readonly kind: 'history';
      readonly afterVersion: number;
      readonly limit: number;
      readonly reply: kernel.Reply<HistoryResult>;
    };

/** The service that holds the current configuration and commits changes to it. */
export const CONFIGURATION =
  kernel.createServiceName<ConfigurationMessage>('configuration');
