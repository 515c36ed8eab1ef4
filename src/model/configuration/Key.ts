/** A caller's key; only its digest is kept. */
export interface Key {
  /** The organisation for which the key's requests run. */
  readonly organisationId: string;

  /** The SHA-256 digest of the key, in hexadecimal. */
  readonly digestSha256Hex: string;

  /** Whether the key still works. */
  readonly status: 'granted' | 'withdrawn';
}
