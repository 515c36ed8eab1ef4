import type * as entry from '../../model/entry/index.js';
import * as readers from '../readers/index.js';

/** The number of VMs from which on a fleet sends statuses to other regions through collectors. */
const MIN_LARGE_FLEET_VMS = 90;

/** The number of VMs below which a large fleet counts as small again, so that single restarts change nothing. */
const MAX_SMALL_FLEET_VMS = 81;

/** The collectors of a region; with two, the loss of one loses no status. */
const COLLECTOR_COUNT = 2;

/** The VMs of a region that follow the VMs' rows; the others learn of VMs by statuses and bundles. */
const READER_COUNT = 2;

/** Whether a fleet is large, by its number of VMs and by whether it was large before. */
export function isLargeFleet(wasLarge: boolean, vmCount: number): boolean {
  return vmCount >= (wasLarge ? MAX_SMALL_FLEET_VMS : MIN_LARGE_FLEET_VMS);
}

/** Gets the collectors of a region among the serving VMs that understand bundles. */
export function getCollectors(
  serving: readonly entry.MemberRecord[],
  region: string,
): readonly entry.MemberRecord[] {
  return readers.chooseReaders(
    serving.filter(canCollect),
    region,
    COLLECTOR_COUNT,
  );
}

/**
 * Gets the peers to which a VM of a large fleet sends its statuses: those of its region, the collectors of the other
 * regions, all VMs that may not understand bundles, and all that are not heard. Without the last, regions that were cut
 * off from each other would wait for each other, or send to collectors chosen from the few VMs that they hear. The load
 * handled is the fan-out of all statuses to all VMs, which grows with the square of the fleet.
 *
 * @param peers All known peers.
 * @param serving The VMs that accept callers.
 */
export function getStatusTargets(
  peers: readonly entry.MemberRecord[],
  serving: readonly entry.MemberRecord[],
  ownRegion: string,
): readonly entry.MemberRecord[] {
  const regions = new Set(serving.map(({region}) => region));
  const collectorIds = new Set(
    [...regions].flatMap(region =>
      getCollectors(serving, region).map(({vmId}) => vmId),
    ),
  );
  const servingIds = new Set(serving.map(({vmId}) => vmId));
  return peers.filter(
    peer =>
      peer.region === ownRegion ||
      !servingIds.has(peer.vmId) ||
      !canCollect(peer) ||
      collectorIds.has(peer.vmId),
  );
}

/** Whether a VM of a large fleet is one of the two of its region that follow the VMs' rows in the store. */
export function isReader(
  serving: readonly entry.MemberRecord[],
  self: entry.MemberRecord,
): boolean {
  return readers
    .chooseReaders(serving, self.region, READER_COUNT)
    .some(({vmId}) => vmId === self.vmId);
}

/** VMs of earlier versions neither report resources nor understand bundles. */
function canCollect(member: entry.MemberRecord): boolean {
  return member.capacity !== undefined;
}
