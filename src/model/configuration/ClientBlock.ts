/** A block of client addresses and the region that serves it first. */
export interface ClientBlock {
  /** The block as an IPv4 prefix, such as 10.1.0.0/16. */
  readonly prefix: string;

  /** The region that serves the block first. */
  readonly region: string;
}
