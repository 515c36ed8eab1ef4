/** One accepted change of the configuration. */
export interface AuditRecord {
  /** The version that the change made. */
  readonly version: number;

  /** The version that the change was made against. */
  readonly baseVersion: number;

  /** The operator who made it. */
  readonly operatorId: string;

  /** Wall-clock time in milliseconds of the change. */
  readonly changedAtMs: number;

  /** Identifies the attempt, so that a lost answer can be settled by reading back. */
  readonly changeId: string;

  /** The patch as it was sent. */
  readonly patch: ConfigurationPatch;
}

/** A change of the configuration. */
export type ConfigurationPatch =
  | {readonly kind: 'mergePatch'; readonly patch: object}
  | {readonly kind: 'jsonPatch'; readonly operations: readonly object[]};
