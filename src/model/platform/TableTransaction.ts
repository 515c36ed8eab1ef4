/** A row of the platform's table, a transactional key-value store. */
export interface TableRow {
  readonly key: string;

  /** The number of the commit that wrote the row, unique within a table; 0 means that the row does not exist. */
  readonly version: number;

  /** The row's value as JSON text. */
  readonly value: string;
}

/** A precondition of a transaction on the version of a row. */
export interface TableCheck {
  readonly key: string;

  /** The version that the row must have; 0 means that the row must not exist. */
  readonly version: number;
}

/** A change of a row. */
export type TableWrite =
  | {readonly kind: 'put'; readonly key: string; readonly value: string}
  | {readonly kind: 'delete'; readonly key: string};

/** Writes that are applied atomically if all checks hold. */
export interface TableTransaction {
  readonly checks: readonly TableCheck[];
  readonly writes: readonly TableWrite[];
}

/** The result of a transaction. */
export type TransactionResult =
  | {
      readonly kind: 'committed';
      /** The version that every written row now has. */
      readonly version: number;
    }
  | {readonly kind: 'conflict'; readonly key: string}
  /** The transaction certainly did not take effect. */
  | {readonly kind: 'unavailable'}
  /** The transaction may or may not have taken effect. */
  | {readonly kind: 'outcomeUnknown'};

/** The result of reading rows. */
export type ReadResult =
  | {readonly kind: 'rows'; readonly rows: readonly TableRow[]}
  | {readonly kind: 'unavailable'};

/** The result of reading an object from the platform's object store. */
export type ObjectResult =
  | {readonly kind: 'object'; readonly text: string}
  | {readonly kind: 'absent'}
  | {readonly kind: 'unavailable'};

/** The result of writing an object: `unavailable` means that the write was not acknowledged. */
export type PutResult =
  {readonly kind: 'stored'} | {readonly kind: 'unavailable'};

/** An entry of the platform's list of VMs, which lags behind the VMs' actual state. */
export interface ListedVm {
  readonly vmId: string;
  readonly status: 'live' | 'leaving';
}

/** The result of reading the platform's list of VMs. */
export type VmListResult =
  | {readonly kind: 'vms'; readonly vms: readonly ListedVm[]}
  | {readonly kind: 'unavailable'};
