import type * as configurations from '../configuration/index.js';

/** A caller's request of which an operator asks where it would go. Its body counts as empty. */
export interface PreviewedRequest {
  /** The HTTP method, in upper case. */
  readonly method: string;

  /** The path with the query string. */
  readonly target: string;

  /** The SHA-256 digest of the API key in hexadecimal, so that the key itself is not sent; empty without a key. */
  readonly keyDigestHex: string;

  readonly hasIdempotencyKey: boolean;
}

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
  | {readonly kind: 'explain'; readonly organisationId: string}
  | ({readonly kind: 'preview'} & PreviewedRequest);
