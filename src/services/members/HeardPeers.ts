/** A peer of which a process, or its leaving, has been heard for the first time. */
export interface HeardPeer {
  readonly vmId: string;
  readonly isLeaving: boolean;

  /** The collector whose bundle named the peer; undefined if the peer's own status arrived. */
  readonly collectorId?: string;
}

/** Above this number, peers that are heard at about the same time are logged in one line. */
const MAX_SEPARATE_PEERS = 8;

/** The peers that have been heard since they were last logged. */
export class HeardPeers {
  private peers: HeardPeer[] = [];

  /** Adds a peer. */
  add(peer: HeardPeer): void {
    this.peers.push(peer);
  }

  /**
   * Removes and returns the peers to log. They are to be logged in one line if there are many: a VM that starts in a
   * large fleet hears a hundred within a second, and each line costs processor time.
   */
  take(): {readonly peers: readonly HeardPeer[]; readonly isOneLine: boolean} {
    const {peers} = this;
    this.peers = [];
    return {peers, isOneLine: peers.length > MAX_SEPARATE_PEERS};
  }
}
