/** What a proxy does with the connections of one source. */
export type ProxyFault =
  | {readonly kind: 'none'}
  /** Bytes come later by this time in milliseconds, in each direction. */
  | {readonly kind: 'delay'; readonly delayMs: number}
  /** Connections are reset at once. */
  | {readonly kind: 'cut'}
  /** Connections stay open and nothing passes. */
  | {readonly kind: 'freeze'}
  /** Nothing passes towards the target. */
  | {readonly kind: 'dropRequests'}
  /** Nothing passes from the target. */
  | {readonly kind: 'dropAnswers'}
  /** Connections are reset after so many bytes from the target. */
  | {readonly kind: 'truncate'; readonly afterBytes: number};
