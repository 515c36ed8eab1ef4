import type * as entry from '../../model/entry/index.js';
import * as hashes from '../placement/hash.js';

/**
 * Chooses the VM that lends part of an organisation's limit to VMs that have used up their own share. All VMs that
 * have the same list of members choose the same lender. Returns `undefined` if there are no members.
 */
export function chooseLender(
  members: readonly entry.MemberRecord[],
  organisationId: string,
): entry.MemberRecord | undefined {
  const organisationHash = hashes.getHash(organisationId);
  let lender: entry.MemberRecord | undefined;
  let highestHash = -1;
  for (const member of members) {
    const vmHash = hashes.getHash(member.vmId);
    const hash = hashes.combineHashes(vmHash, organisationHash);
    if (hash <= highestHash) continue;
    highestHash = hash;
    lender = member;
  }
  return lender;
}
