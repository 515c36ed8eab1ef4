import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import type * as peers from '../../model/peers/index.js';
import * as members from '../members/index.js';

/** Encodes the parameters of a request to another daemon. */
export function encodePeerRequestParams(request: peers.PeerRequest): object {
  const {kind, ...params} = request;
  switch (kind) {
    case 'announceRows':
      return {announcement: encodeAnnouncement(request.announcement)};
    case 'heartbeat':
    case 'borrowShares':
    case 'returnShares':
    case 'takeTokens':
    case 'previewTokens':
    case 'settleTokens':
    case 'askClaim':
    case 'exchangeSuspects':
    case 'getSharedState':
    case 'getKnowledge':
    case 'borrowRequests':
      return params;
    default:
      return errors.throwUnreachable(kind);
  }
}

/** Encodes the answer to a request of another daemon. */
export function encodePeerAnswer(answer: peers.PeerAnswer): object {
  switch (answer.kind) {
    case 'knowledge':
      return {
        ...answer,
        operatorRows: encodeOptionalRows(answer.operatorRows),
        upstreamRows: encodeOptionalRows(answer.upstreamRows),
      };
    case 'rowsReceived':
      return {...answer, receipt: encodeReceipt(answer.receipt)};
    case 'status':
    case 'loans':
    case 'done':
    case 'tokens':
    case 'lent':
    case 'suspects':
    case 'claim':
    case 'sharedState':
      return answer;
    default:
      return errors.throwUnreachable(answer);
  }
}

function encodeAnnouncement(announcement: peers.RowsAnnouncement): object {
  const {upstreams, operators} = announcement;
  return {
    ...announcement,
    upstreams:
      upstreams === undefined
        ? undefined
        : {...upstreams, rows: members.encodeRows(upstreams.rows)},
    operators:
      operators === undefined
        ? undefined
        : {
            ...members.encodeRows(operators),
            rows: encodeOptionalRows(operators.rows),
          },
  };
}

function encodeReceipt({
  operatorPosition,
  ...receipt
}: peers.RowsReceipt): object {
  return {
    ...receipt,
    operatorTableVersion:
      operatorPosition === undefined
        ? undefined
        : members.encodePosition(operatorPosition),
  };
}

function encodeOptionalRows<R extends {readonly position: entry.StorePosition}>(
  rows: R | undefined,
): members.EncodedRows<R> | undefined {
  return rows === undefined ? undefined : members.encodeRows(rows);
}
