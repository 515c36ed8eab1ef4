/** The answer of an upstream, kept whole. */
export interface StoredAnswer {
  readonly httpStatus: number;
  readonly contentType: string;
  readonly bodyBase64: string;
}

/** How far the work under a claim has come. */
export type ClaimState =
  | {readonly kind: 'claimed'}
  | {readonly kind: 'answered'; readonly answer: StoredAnswer}
  | {readonly kind: 'unknown'}
  | {
      readonly kind: 'settled';
      readonly operatorId: string;
      readonly hasRun: boolean;
    };

/** The table's row for one action that may run at most once. */
export interface Claim {
  readonly organisationId: string;

  /** The SHA-256 digest of the caller's idempotency key, in hexadecimal. */
  readonly keyDigestHex: string;

  /** The SHA-256 digest of the request, in hexadecimal. */
  readonly requestDigestHex: string;

  /** Names the attempt that holds the claim. */
  readonly attemptId: string;

  /** The process that holds the claim. */
  readonly processId: string;

  /** Where the holder's peers' listener was when the claim was made. */
  readonly peersAddress: string;

  /** Wall-clock time in milliseconds after which nothing under this claim is dispatched. */
  readonly dispatchDeadlineMs: number;

  readonly state: ClaimState;
}
