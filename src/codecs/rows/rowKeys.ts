const VERSION_DIGIT_COUNT = 12;

/** The key of the row that holds the fleet map. */
export const FLEET_ROW_KEY = 'fleet';

/** The key of the row that identifies the newest version of the configuration. */
export const HEAD_ROW_KEY = 'configuration';

/** The key prefix of the audit trail's rows. */
export const AUDIT_ROW_PREFIX = 'audit/';

/** The key prefix of the claims' rows. */
export const CLAIM_ROW_PREFIX = 'claim/';

/** Returns the key of the audit row of a version; the keys sort in the order of the versions. */
export function getAuditRowKey(version: number): string {
  return AUDIT_ROW_PREFIX + String(version).padStart(VERSION_DIGIT_COUNT, '0');
}

/** Returns the key of a claim's row. */
export function getClaimRowKey(
  organisationId: string,
  keyDigestHex: string,
): string {
  return `${CLAIM_ROW_PREFIX}${organisationId}/${keyDigestHex}`;
}
