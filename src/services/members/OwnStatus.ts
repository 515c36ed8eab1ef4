import * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';
import type * as presences from './Presence.js';

/** What this VM says of itself to its peers. */
export class OwnStatus {
  private readonly presence: presences.Presence;
  private status: entry.MemberStatus;

  /**
   * @param member This VM's record.
   * @param presence Whether this VM leaves.
   */
  constructor(member: entry.MemberRecord, presence: presences.Presence) {
    this.presence = presence;
    this.status = {
      member,
      isLeaving: false,
      operatorRowsPosition: decisions.INITIAL_POSITION,
      upstreamRowsPosition: decisions.INITIAL_POSITION,
      limitUseReport: undefined,
      serviceDemands: [],
    };
  }

  /** Gets the status to send now: the same object as before while nothing has changed. */
  get(): entry.MemberStatus {
    const {isLeaving} = this.presence;
    if (this.status.isLeaving !== isLeaving)
      this.status = {...this.status, isLeaving};
    return this.status;
  }

  /** Sets the position of the store up to which the operators' rows have been read. */
  setOperatorRowsPosition(operatorRowsPosition: entry.StorePosition): void {
    const {operatorRowsPosition: known} = this.status;
    if (!decisions.isSamePosition(known, operatorRowsPosition))
      this.status = {...this.status, operatorRowsPosition};
  }

  /** Sets the position of the store up to which the upstreams' rows have been read. */
  setUpstreamRowsPosition(upstreamRowsPosition: entry.StorePosition): void {
    const {upstreamRowsPosition: known} = this.status;
    if (!decisions.isSamePosition(known, upstreamRowsPosition))
      this.status = {...this.status, upstreamRowsPosition};
  }

  /** Sets the use of the organisations' limits. */
  setLimitUseReport(limitUseReport: entry.LimitUseReport): void {
    this.status = {...this.status, limitUseReport};
  }

  /** Sets the slots that the requests of this VM's callers occupy. */
  setServiceDemands(serviceDemands: readonly entry.ServiceDemand[]): void {
    this.status = {...this.status, serviceDemands};
  }
}
