/** A block of client IP addresses and its preferred region. */
export interface ClientBlock {
  /** The block in CIDR notation (IPv4), such as 10.1.0.0/16. */
  readonly prefix: string;

  /** The region to which clients of this block are steered first. */
  readonly region: string;
}
