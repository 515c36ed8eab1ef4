/** A row of the platform's table. */
export interface TableRow {
  readonly key: string;

  /** The commit that wrote the row, never used twice in a table; 0 means that the row does not exist. */
  readonly version: number;

  /** The value as JSON text. */
  readonly value: string;
}

/** A condition on a row. */
export interface TableCheck {
  readonly key: string;

  /** The version that the row must have; 0 when it must not be there. */
  readonly version: number;
}

/** A change of a row. */
export type TableWrite =
  | {readonly kind: 'put'; readonly key: string; readonly value: string}
  | {readonly kind: 'delete'; readonly key: string};

/** Changes that happen all together, or not at all. */
export interface TableTransaction {
  readonly checks: readonly TableCheck[];
  readonly writes: readonly TableWrite[];
}

/** How a transaction ended. */
export type TransactionResult =
  | {
      readonly kind: 'committed';
      /** The version of every row that was written. */
      readonly version: number;
    }
  | {readonly kind: 'conflict'; readonly key: string}
  /** It certainly did not take effect. */
  | {readonly kind: 'unavailable'}
  /** It may or may not have taken effect. */
  | {readonly kind: 'outcomeUnknown'};

/** How a read ended. */
export type ReadResult =
  | {readonly kind: 'rows'; readonly rows: readonly TableRow[]}
  | {readonly kind: 'unavailable'};

/** How the reading of an object ended. */
export type ObjectResult =
  | {readonly kind: 'object'; readonly text: string}
  | {readonly kind: 'absent'}
  | {readonly kind: 'unavailable'};

/** Whether a write of an object was acknowledged. */
export type PutResult =
  {readonly kind: 'stored'} | {readonly kind: 'unavailable'};

/** One line of the platform's lagging list of VMs. */
export interface ListedVm {
  readonly vmId: string;
  readonly status: 'live' | 'leaving';
}

/** How the reading of the list of VMs ended. */
export type VmListResult =
  | {readonly kind: 'vms'; readonly vms: readonly ListedVm[]}
  | {readonly kind: 'unavailable'};
