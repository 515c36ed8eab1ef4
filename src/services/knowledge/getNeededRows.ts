import * as decisions from '../../decisions/index.js';
import * as intervals from './intervals.js';
import type * as operatorRows from './OperatorRowsState.js';
import type * as peerRequesters from './PeerRequester.js';
import type * as upstreamRows from './UpstreamRowsState.js';

/** By how many milliseconds rows may exceed their usual age before this process requests them from a peer. */
const PEER_FALLBACK_DELAY_MS = 600;

/**
 * Gets which rows a process needs from a peer because it could not read the store in time.
 *
 * @param isFollower Whether the process gets its rows from readers.
 * @param nowMs The monotonic time in milliseconds.
 */
export function getNeededRows(
  operators: operatorRows.OperatorRowsState,
  upstreams: upstreamRows.UpstreamRowsState,
  isFollower: boolean,
  bounds: intervals.KnowledgeBounds,
  nowMs: number,
): peerRequesters.NeededRows {
  const readMode = operators.getReadMode();
  const operatorsLateAtMs =
    operators.getCurrentAtMs() +
    intervals.getFollowWaitMs(bounds) +
    PEER_FALLBACK_DELAY_MS;
  return {
    // A store that refuses this VM may serve other VMs, so after a failed read a peer is asked without delay.
    areOperatorRowsStale:
      (readMode.kind === 'snapshot' &&
        readMode.cause === 'changesMissed' &&
        !isFollower) ||
      nowMs > operatorsLateAtMs,
    areUpstreamRowsStale: upstreams.isStale(PEER_FALLBACK_DELAY_MS, nowMs),
    operatorRowsPosition:
      operators.getRows()?.position ?? decisions.INITIAL_POSITION,
    upstreamRowsPosition: upstreams.getPosition() ?? decisions.INITIAL_POSITION,
  };
}
