/** A fault that a proxy injects into the connections from one source address. */
export type ProxyFault =
  | {readonly kind: 'none'}
  /** Bytes are forwarded after this delay in milliseconds, in each direction. */
  | {readonly kind: 'delay'; readonly delayMs: number}
  /** Open connections are reset, and new ones are closed at once. */
  | {readonly kind: 'cut'}
  /** Connections stay open, but all bytes are dropped. */
  | {readonly kind: 'freeze'}
  /** Bytes from the caller to the target are dropped. */
  | {readonly kind: 'dropRequests'}
  /** Bytes from the target to the caller are dropped. */
  | {readonly kind: 'dropAnswers'}
  /** Connections are reset once the target has sent more than this number of bytes. */
  | {readonly kind: 'truncate'; readonly afterBytes: number};
