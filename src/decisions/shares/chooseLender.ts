import type * as entry from '../../model/entry/index.js';
import * as hashes from '../placement/hash.js';

/**
 * The smallest part of the largest VM's processors with which a VM lends. Borrowers wait for an answer for a short time
 * only, in which a VM with much less processor time may not answer; they are then refused below the limit.
 */
const MIN_PROCESSOR_RATIO = 1 / 3;

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
  for (const member of getCandidates(members)) {
    const vmHash = hashes.getHash(member.vmId);
    const hash = hashes.combineHashes(vmHash, organisationHash);
    if (hash <= highestHash) continue;
    highestHash = hash;
    lender = member;
  }
  return lender;
}

/** Gets the VMs with enough processors to answer in time; where no VM reports its resources, all. */
function getCandidates(
  members: readonly entry.MemberRecord[],
): readonly entry.MemberRecord[] {
  const largestCount = Math.max(
    0,
    ...members.map(({capacity}) => capacity?.processorCount ?? 0),
  );
  const minCount = largestCount * MIN_PROCESSOR_RATIO;
  return members.filter(
    ({capacity}) => (capacity?.processorCount ?? 0) >= minCount,
  );
}
