import type * as configurations from '../configuration/index.js';

/** A request of an operator to a daemon. */
export type OperatorRequest =
  | {readonly kind: 'showConfiguration'}
  | {
      readonly kind: 'patch';
      readonly baseVersion: number;
      readonly patch: configurations.ConfigurationPatch;
      readonly isDryRun: boolean;
      /** Identifies the change, so that an operator whose response was lost can look up whether it was made. */
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
      /** Whether the operation has run, as stated by the operator. */
      readonly hasRun: boolean;
    }
  | {readonly kind: 'showStatus'}
  | {
      readonly kind: 'steer';
      readonly clientAddress: string;
      readonly organisationId: string;
    }
  | {readonly kind: 'explain'; readonly organisationId: string};
