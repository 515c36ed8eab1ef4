/** A caller's API key; only its digest is stored. */
export interface Key {
  /** The organisation to which requests with this key belong. */
  readonly organisationId: string;

  /** The SHA-256 digest of the key, in hexadecimal. */
  readonly digestSha256Hex: string;

  /** Whether requests with this key are accepted. */
  readonly status: 'granted' | 'withdrawn';
}
