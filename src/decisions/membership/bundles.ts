import type * as entry from '../../model/entry/index.js';
import * as tables from './MemberTable.js';

/** A bundle and the monotonic time in milliseconds at which it arrived. */
export interface ReceivedBundle {
  readonly bundle: entry.MemberBundle;
  readonly receivedAtMs: number;
}

/** The statuses that a VM has received, directly and through collectors. */
export interface ReceivedStatuses {
  /** All peers, by whichever way the latest news of them arrived. */
  readonly members: tables.MemberTable;

  /** The peers whose own datagrams arrived. */
  readonly directs: tables.MemberTable;

  /** The latest bundle of each collector. */
  readonly bundles: readonly ReceivedBundle[];
}

/** The largest age in milliseconds of a status in a bundle: two intervals and a margin, so that one may get lost. */
const MAX_COLLECTED_AGE_MS = 2500;

/** How long a bundle is used, in milliseconds: two intervals and a margin. */
const MAX_BUNDLE_AGE_MS = 2200;

/** Adds up what a collector has heard directly of the VMs of other regions. */
export function collectBundle(
  collector: entry.MemberRecord,
  directs: tables.MemberTable,
  nowMs: number,
): entry.MemberBundle {
  const regions = new Map<string, tables.MemberEntry[]>();
  for (const peer of directs.values()) {
    const {region} = peer.status.member;
    if (region === collector.region) continue;
    if (nowMs - peer.statusReceivedAtMs >= MAX_COLLECTED_AGE_MS) continue;
    regions.set(region, [...(regions.get(region) ?? []), peer]);
  }
  return {
    collectorId: collector.vmId,
    regions: [...regions].map(([region, peers]) => {
      const statuses = peers.map(({status}) => status);
      return {
        region,
        heard: peers.map(({status, statusReceivedAtMs}) => ({
          member: status.member,
          isLeaving: status.isLeaving,
          operatorRowsPosition: status.operatorRowsPosition,
          upstreamRowsPosition: status.upstreamRowsPosition,
          ageMs: nowMs - statusReceivedAtMs,
        })),
        limitUseReports: sumReports(statuses),
        serviceDemands: sumDemands(statuses),
      };
    }),
  };
}

/** Adds the VMs that a bundle names to the table, unless later news of them has arrived. */
export function setHeardMembers(
  members: tables.MemberTable,
  heard: readonly entry.HeardMember[],
  nowMs: number,
): tables.MemberTable {
  const next = new Map(members);
  for (const vm of heard) {
    const {vmId, processId} = vm.member;
    const known = members.get(vmId);
    const heardAtMs = nowMs - vm.ageMs;
    if (known !== undefined && heardAtMs <= known.statusReceivedAtMs) continue;
    // A process that leaves doesn't return; the bundle is older than the process's own word.
    const isLeaving =
      vm.isLeaving ||
      (known?.status.isLeaving === true &&
        known.status.member.processId === processId);
    next.set(vmId, {
      status: {...getPlainStatus(vm), isLeaving},
      statusReceivedAtMs: heardAtMs,
    });
  }
  return next;
}

/**
 * Gets the recent status of each peer, in which the uses and demands of each VM are counted once: its own, or within the
 * sums of one bundle, which the statuses of the first VMs of the bundle's region carry.
 */
export function getPeerStatuses(
  received: ReceivedStatuses,
  ownRegion: string,
  nowMs: number,
): readonly entry.MemberStatus[] {
  const {members, directs} = received;
  const statuses = new Map<string, entry.MemberStatus>();
  for (const [vmId, peer] of members)
    if (isRecent(peer, nowMs))
      statuses.set(vmId, {
        ...peer.status,
        limitUseReport: undefined,
        serviceDemands: [],
      });
  for (const [vmId, peer] of directs)
    if (isRecent(peer, nowMs)) statuses.set(vmId, peer.status);
  // The VMs that a chosen bundle names are counted in its sums, and no longer by their own statuses.
  const chosen = chooseRegionBundles(received, ownRegion, nowMs);
  for (const {heard, limitUseReports, serviceDemands} of chosen)
    for (const [index, vm] of heard.entries())
      statuses.set(vm.member.vmId, {
        ...(statuses.get(vm.member.vmId) ?? getPlainStatus(vm)),
        limitUseReport: limitUseReports[index],
        serviceDemands: index === 0 ? serviceDemands : [],
      });
  return [...statuses.values()];
}

/** Chooses for each other region the bundle that covers most VMs, unless the VMs' own statuses cover as many. */
function chooseRegionBundles(
  {directs, bundles}: ReceivedStatuses,
  ownRegion: string,
  nowMs: number,
): readonly entry.RegionBundle[] {
  const directCounts = new Map<string, number>();
  for (const peer of directs.values()) {
    const {region} = peer.status.member;
    if (isRecent(peer, nowMs))
      directCounts.set(region, (directCounts.get(region) ?? 0) + 1);
  }
  const chosen = new Map<string, entry.RegionBundle>();
  const latestFirst = [...bundles]
    .filter(({receivedAtMs}) => nowMs - receivedAtMs < MAX_BUNDLE_AGE_MS)
    .sort((a, b) => b.receivedAtMs - a.receivedAtMs);
  for (const {bundle} of latestFirst)
    for (const part of bundle.regions) {
      if (part.region === ownRegion) continue;
      const coveredCount =
        chosen.get(part.region)?.heard.length ??
        directCounts.get(part.region) ??
        0;
      if (part.heard.length > coveredCount) chosen.set(part.region, part);
    }
  return [...chosen.values()];
}

function isRecent(peer: tables.MemberEntry, nowMs: number): boolean {
  return nowMs - peer.statusReceivedAtMs < tables.MEMBER_SILENCE_MS;
}

function getPlainStatus(vm: entry.HeardMember): entry.MemberStatus {
  return {
    member: vm.member,
    isLeaving: vm.isLeaving,
    operatorRowsPosition: vm.operatorRowsPosition,
    upstreamRowsPosition: vm.upstreamRowsPosition,
    limitUseReport: undefined,
    serviceDemands: [],
  };
}

function sumReports(
  statuses: readonly entry.MemberStatus[],
): readonly entry.LimitUseReport[] {
  const sums = new Map<string, entry.LimitUseReport>();
  for (const {limitUseReport: report} of statuses) {
    if (report === undefined) continue;
    const key = `${report.organisationsDigest}/${report.isComplete}`;
    const sum = sums.get(key);
    sums.set(
      key,
      sum === undefined
        ? {...report, vmCount: 1}
        : {
            ...sum,
            vmCount: (sum.vmCount ?? 1) + 1,
            uses: sum.uses.map((use, index) => addUse(use, report.uses[index])),
          },
    );
  }
  return [...sums.values()];
}

function addUse(
  sum: entry.LimitUse,
  use: entry.LimitUse | undefined,
): entry.LimitUse {
  if (use === undefined) return sum;
  return {
    demandPerSecond: sum.demandPerSecond + use.demandPerSecond,
    admittedCount: sum.admittedCount + use.admittedCount,
    leavingCount: sum.leavingCount + use.leavingCount,
  };
}

function sumDemands(
  statuses: readonly entry.MemberStatus[],
): readonly entry.ServiceDemand[] {
  const sums = new Map<string, entry.ServiceDemand>();
  for (const {serviceDemands} of statuses)
    for (const {serviceId, busySlots, boundSlots} of serviceDemands) {
      const sum = sums.get(serviceId);
      const bound = new Map(sum?.boundSlots);
      for (const [region, slots] of boundSlots)
        bound.set(region, (bound.get(region) ?? 0) + slots);
      sums.set(serviceId, {
        serviceId,
        busySlots: (sum?.busySlots ?? 0) + busySlots,
        boundSlots: bound,
      });
    }
  return [...sums.values()];
}
