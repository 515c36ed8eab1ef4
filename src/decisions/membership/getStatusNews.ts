import type * as entry from '../../model/entry/index.js';

/** What a peer's status says beyond its previous one. */
export type StatusNews =
  /** Nothing was known of the VM. */
  | {readonly kind: 'unknownVm'}
  /** Another process of the VM was known. */
  | {readonly kind: 'otherProcess'}
  /** The process began to leave, or its previous status said that it leaves and this one doesn't. */
  | {readonly kind: 'leavingChanged'}
  | {readonly kind: 'unchanged'};

/** Compares a peer's status with its previous one, which is undefined for a VM of which nothing was known. */
export function getStatusNews(
  previous: entry.MemberStatus | undefined,
  status: entry.MemberStatus,
): StatusNews {
  if (previous === undefined) return {kind: 'unknownVm'};
  if (previous.member.processId !== status.member.processId)
    return {kind: 'otherProcess'};
  if (previous.isLeaving !== status.isLeaving) return {kind: 'leavingChanged'};
  return {kind: 'unchanged'};
}
