import * as kernel from '../../kernel/index.js';
import type * as configurations from '../../model/configuration/index.js';
import type * as errors from '../../model/errors/index.js';
import type * as fleetService from '../fleet/index.js';

/** Tells a subscriber of the version that is in force. */
export interface ConfigurationChanged {
  readonly kind: 'configurationChanged';
  readonly configuration: configurations.Configuration;
}

/** An operator's change of the configuration. */
export interface PatchCommand {
  readonly baseVersion: number;
  readonly patch: configurations.ConfigurationPatch;
  readonly operatorId: string;
  readonly changeId: string;
  readonly isDryRun: boolean;
}

/** How a change ended. */
export type PatchResult =
  /** It was checked only. */
  | {
      readonly kind: 'valid';
      readonly configuration: configurations.Configuration;
    }
  /** It is committed to the table; `spread` tells whether a majority has it as well. */
  | {
      readonly kind: 'committed';
      readonly version: number;
      readonly spread: fleetService.VersionSpread;
    }
  | {readonly kind: 'failed'; readonly error: errors.BramleyrunError};

/** How the reading of the audit trail ended. */
export type HistoryResult =
  | {
      readonly kind: 'records';
      readonly records: readonly configurations.AuditRecord[];
    }
  | {readonly kind: 'failed'; readonly error: errors.BramleyrunError};

/** What the configuration service takes. */
export type ConfigurationMessage =
  | {
      readonly kind: 'subscribe';
      readonly subscriber: kernel.Address<ConfigurationChanged>;
    }
  | {readonly kind: 'poll'}
  /** A peer has something newer. */
  | {readonly kind: 'newerAtPeer'; readonly peersAddress: string}
  | {
      readonly kind: 'getCurrent';
      readonly reply: kernel.Reply<configurations.Configuration>;
    }
  | {
      readonly kind: 'patch';
      readonly command: PatchCommand;
      readonly reply: kernel.Reply<PatchResult>;
    }
  | {
      readonly kind: 'history';
      readonly afterVersion: number;
      readonly limit: number;
      readonly reply: kernel.Reply<HistoryResult>;
    };

/** The configuration service. */
export const CONFIGURATION =
  kernel.getServiceName<ConfigurationMessage>('configuration');
