/** A complete upstream response, stored so that it can be replayed to a repeated request. */
export interface StoredAnswer {
  readonly httpStatus: number;
  readonly contentType: string;
  readonly bodyBase64: string;
}

/** The state of the operation that a claim protects. */
export type ClaimState =
  | {readonly kind: 'claimed'}
  | {readonly kind: 'answered'; readonly answer: StoredAnswer}
  /** The request was dispatched to an upstream, and its outcome is unknown. */
  | {readonly kind: 'unknown'}
  /** An operator settled a claim whose outcome was unknown. */
  | {
      readonly kind: 'settled';
      readonly operatorId: string;
      /** Whether the operation has run, as stated by the operator. */
      readonly hasRun: boolean;
    };

/** The row in the platform's table that ensures that one operation runs at most once. */
export interface Claim {
  readonly organisationId: string;

  /** The SHA-256 digest of the caller's idempotency key, in hexadecimal. */
  readonly keyDigestHex: string;

  /** The SHA-256 digest of the request, in hexadecimal. */
  readonly requestDigestHex: string;

  /** Identifies the attempt that holds the claim. */
  readonly attemptId: string;

  /** Identifies the process that holds the claim. */
  readonly processId: string;

  /** The address, as host:port, of the holder's listener for peers when the claim was made. */
  readonly peersAddress: string;

  /**
   * Wall-clock time, in milliseconds since the Unix epoch, after which the request of this claim is no longer
   * dispatched to an upstream.
   */
  readonly dispatchDeadlineMs: number;

  readonly state: ClaimState;
}
