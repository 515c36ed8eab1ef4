/** How the next news of a table's rows is had. */
export type Following =
  /** By a reading of all rows: at the start, and whenever a wait was broken off and may have missed something. */
  | {readonly kind: 'snapshot'}
  /** By waiting for changes after a version up to which nothing was missed. */
  | {readonly kind: 'changes'; readonly afterTableVersion: number};
