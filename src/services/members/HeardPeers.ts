import type * as logs from '../logs/index.js';

/** A peer of which a process, or its leaving, has been heard for the first time. */
export interface HeardPeer {
  readonly vmId: string;
  readonly isLeaving: boolean;

  /** The collector whose bundle named the peer; undefined if the peer's own status arrived. */
  readonly collectorId?: string;
}

/** Above this number, peers that are heard at about the same time are logged in one line. */
const MAX_SEPARATE_PEERS = 8;

/** Writes a log line. */
type WriteLine = (name: logs.EventName, fields: logs.LogFields) => void;

/** The peers that have been heard since they were last logged. */
export class HeardPeers {
  private peers: HeardPeer[] = [];

  /** Adds a peer. */
  add(peer: HeardPeer): void {
    this.peers.push(peer);
  }

  /**
   * Logs the peers that have been heard since the last call, many of them in one line: a VM that starts in a large fleet
   * hears a hundred within a second, and each line costs processor time.
   */
  log(writeLine: WriteLine): void {
    const {peers} = this;
    this.peers = [];
    if (peers.length > MAX_SEPARATE_PEERS) {
      writeLine('membersHeard', {
        count: peers.length,
        peers: peers.map(({vmId}) => vmId).join(),
      });
      return;
    }
    for (const {vmId, isLeaving, collectorId} of peers)
      writeLine('memberHeard', {
        peer: vmId,
        ...(collectorId === undefined
          ? {leaving: isLeaving}
          : {via: collectorId}),
      });
  }
}
