const VERSION_DIGITS = 12;

/** The key of the fleet's row. */
export const FLEET_ROW_KEY = 'fleet';

/** The key of the row that names the newest version of the configuration. */
export const HEAD_ROW_KEY = 'configuration';

/** The prefix of the audit trail's rows. */
export const AUDIT_ROW_PREFIX = 'audit/';

/** The prefix of the claims' rows. */
export const CLAIM_ROW_PREFIX = 'claim/';

/** Gets the key of the audit row of a version; the keys sort as the versions do. */
export function getAuditRowKey(version: number): string {
  return AUDIT_ROW_PREFIX + String(version).padStart(VERSION_DIGITS, '0');
}

/** Gets the key of a claim's row. */
export function getClaimRowKey(
  organisationId: string,
  keyDigestHex: string,
): string {
  return `${CLAIM_ROW_PREFIX}${organisationId}/${keyDigestHex}`;
}
