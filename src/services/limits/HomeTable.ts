import * as decisions from '../../decisions/index.js';
import type * as fleetViews from '../fleet/FleetView.js';

/**
 * Caches the home of each organisation: the process that decides which of its requests are admitted. The homes are
 * calculated again only when the set of processes that can be homes changes.
 */
export class HomeTable {
  private readonly homesByOrganisation = new Map<
    string,
    fleetViews.LiveHolder | undefined
  >();
  private holders: readonly fleetViews.LiveHolder[] = [];
  private holdersKey = '';

  /** Replaces the processes that hold slots; those that aren't stopping can be homes. */
  update(holders: readonly fleetViews.LiveHolder[]): void {
    const candidates = holders.filter(holder => !holder.isStopping);
    const holdersKey = candidates.map(holder => holder.processId).join();
    this.holders = candidates;
    if (holdersKey === this.holdersKey) return;
    this.holdersKey = holdersKey;
    this.homesByOrganisation.clear();
  }

  /** Gets the home of an organisation, or undefined when no process can be one. */
  getHome(organisationId: string): fleetViews.LiveHolder | undefined {
    if (!this.homesByOrganisation.has(organisationId))
      this.homesByOrganisation.set(
        organisationId,
        decisions.getHome(organisationId, this.holders),
      );
    return this.homesByOrganisation.get(organisationId);
  }

  /** Returns whether a process is the home of an organisation. */
  isHome(organisationId: string, processId: string): boolean {
    return this.getHome(organisationId)?.processId === processId;
  }
}
