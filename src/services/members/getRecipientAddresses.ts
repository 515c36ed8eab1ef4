import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import type * as directories from './MemberDirectory.js';

/** The peers to which a datagram is sent. */
export type Recipients =
  /** Every peer that is registered in the store or was heard. */
  | {readonly kind: 'all'}
  /** The peers to which this VM sends its status. */
  | {readonly kind: 'statusPeers'}
  /** The peers in this VM's region. */
  | {readonly kind: 'region'}
  | {readonly kind: 'one'; readonly member: entry.MemberRecord};

/** Gets the addresses of the recipients at the monotonic time `nowMs` in milliseconds, each once. */
export function getRecipientAddresses(
  recipients: Recipients,
  directory: directories.MemberDirectory,
  nowMs: number,
): ReadonlySet<string> {
  const peers = getRecipients(recipients, directory, nowMs);
  return new Set(peers.map(({peersAddress}) => peersAddress));
}

function getRecipients(
  recipients: Recipients,
  directory: directories.MemberDirectory,
  nowMs: number,
): readonly entry.MemberRecord[] {
  switch (recipients.kind) {
    case 'all':
      return directory.getPeers(nowMs);
    case 'statusPeers':
      return directory.getStatusPeers(nowMs);
    case 'region':
      return directory.getRegionPeers(nowMs);
    case 'one':
      return [recipients.member];
    default:
      return errors.throwUnreachable(recipients);
  }
}
