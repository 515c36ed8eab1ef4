import * as decisions from '../../decisions/index.js';
import type * as fleetViews from '../fleet/FleetView.js';

/** The home of each organisation, worked out again only when holders come or go. */
export class HomeTable {
  private readonly homes = new Map<string, fleetViews.LiveHolder | undefined>();
  private holders: readonly fleetViews.LiveHolder[] = [];
  private holdersKey = '';

  /** Notes which processes can be homes. */
  update(holders: readonly fleetViews.LiveHolder[]): void {
    const candidates = holders.filter(holder => !holder.isStopping);
    const holdersKey = candidates.map(holder => holder.processId).join();
    this.holders = candidates;
    if (holdersKey === this.holdersKey) return;
    this.holdersKey = holdersKey;
    this.homes.clear();
  }

  /** Gets the home of an organisation, or nothing when no holder is alive. */
  get(organisationId: string): fleetViews.LiveHolder | undefined {
    if (!this.homes.has(organisationId))
      this.homes.set(
        organisationId,
        decisions.getHome(organisationId, this.holders),
      );
    return this.homes.get(organisationId);
  }

  /** Whether a process is the home of an organisation. */
  isHome(organisationId: string, processId: string): boolean {
    return this.get(organisationId)?.processId === processId;
  }
}
