/** An audit trail record of one accepted configuration change. */
export interface AuditRecord {
  /** The configuration version that the change created. */
  readonly version: number;

  /** The configuration version that the change was applied to. */
  readonly baseVersion: number;

  /** The operator who made the change. */
  readonly operatorId: string;

  /** Wall-clock time of the change, in milliseconds since the Unix epoch. */
  readonly changedAtMs: number;

  /** Identifies the attempt, so that an operator whose response was lost can look up whether the change was made. */
  readonly changeId: string;

  /** The patch as the operator sent it. */
  readonly patch: ConfigurationPatch;
}

/** A configuration change: a JSON Merge Patch (RFC 7396) or a JSON Patch (RFC 6902). */
export type ConfigurationPatch =
  | {readonly kind: 'mergePatch'; readonly patch: object}
  | {readonly kind: 'jsonPatch'; readonly operations: readonly object[]};
