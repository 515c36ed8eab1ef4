import type * as configurations from '../configuration/index.js';

/** What an operator asks of a daemon. */
export type OperatorRequest =
  | {readonly kind: 'showConfiguration'}
  | {
      readonly kind: 'patch';
      readonly baseVersion: number;
      readonly patch: configurations.ConfigurationPatch;
      readonly isDryRun: boolean;
      /** Names the change, so that a lost answer can be settled. */
      readonly changeId: string;
    }
  | {
      readonly kind: 'history';
      readonly afterVersion: number;
      readonly limit: number;
    }
  | {readonly kind: 'listVms'}
  | {readonly kind: 'listOperations'; readonly limit: number}
  | {
      readonly kind: 'settleOperation';
      readonly organisationId: string;
      readonly keyDigestHex: string;
      readonly hasRun: boolean;
    }
  | {readonly kind: 'showStatus'}
  | {
      readonly kind: 'steer';
      readonly clientAddress: string;
      readonly organisationId: string;
    }
  | {readonly kind: 'explain'; readonly organisationId: string};
