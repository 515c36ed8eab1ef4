import * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';
import type * as membersService from '../members/index.js';

/** The shortest time in milliseconds between two requests to peers. */
const MIN_PEER_REQUEST_INTERVAL_MS = 400;

/** Which rows a process needs from a peer, and the positions up to which it has them. */
export interface NeededRows {
  readonly areOperatorRowsStale: boolean;
  readonly areUpstreamRowsStale: boolean;
  readonly operatorRowsPosition: entry.StorePosition;
  readonly upstreamRowsPosition: entry.StorePosition;
}

/** Chooses the peers that are asked for rows; successive requests go to different peers. */
export class PeerRequester {
  private isPending = false;
  private requestedAtMs = -Infinity;
  private requestCount = 0;

  /** Begins a request to a peer that reports a newer position; undefined when none does, or it is too early. */
  begin(
    members: membersService.MembersChanged | undefined,
    needed: NeededRows,
    nowMs: number,
  ): entry.MemberRecord | undefined {
    if (this.isPending || members === undefined) return undefined;
    if (nowMs < this.requestedAtMs + MIN_PEER_REQUEST_INTERVAL_MS)
      return undefined;
    const newerPeers = members.peerStatuses.filter(
      status =>
        (needed.areOperatorRowsStale &&
          isNewer(status.operatorRowsPosition, needed.operatorRowsPosition)) ||
        (needed.areUpstreamRowsStale &&
          isNewer(status.upstreamRowsPosition, needed.upstreamRowsPosition)),
    );
    if (newerPeers.length === 0) return undefined;
    this.requestCount += 1;
    this.isPending = true;
    this.requestedAtMs = nowMs;
    return newerPeers[this.requestCount % newerPeers.length].member;
  }

  /** Ends the request in progress. */
  end(): void {
    this.isPending = false;
  }
}

function isNewer(
  position: entry.StorePosition,
  held: entry.StorePosition,
): boolean {
  return decisions.comparePositions(position, held) === 'newer';
}
