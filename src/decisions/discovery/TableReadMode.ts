/** How a process gets the next changes of the rows of a table. */
export type TableReadMode =
  /** Reads all rows: at the start, and after a wait for changes that ended early and may have missed some. */
  | {readonly kind: 'snapshot'}
  /** Waits for the changes after `afterTableVersion`; all changes up to that version have been received. */
  | {readonly kind: 'changes'; readonly afterTableVersion: number};
