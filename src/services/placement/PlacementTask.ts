import * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import * as base from '../base/index.js';
import * as membersService from '../members/MembersMessage.js';
import * as store from '../store/index.js';
import type * as messages from './PlacementMessage.js';

/** The shortest time between two writes of one VM. */
const WRITE_INTERVAL_MS = 5000;

/**
 * Keeps the shares of this VM's region in the store, so that objects stay in the regions that have them warm when all
 * VMs restart. Every VM knows its region's present shares; one VM of the region writes them.
 */
export class PlacementTask extends base.ServiceTask<messages.PlacementMessage> {
  private readonly region: string;
  private readonly services = new Map<string, entry.StoredShares>();
  private isWriter = false;
  private hasChange = false;

  /** @param region The region of this VM. */
  constructor(region: string) {
    super();
    this.region = region;
  }

  protected override async onStart(): Promise<void> {
    this.getService(membersService.MEMBERS).post({
      kind: 'subscribe',
      subscriber: this.getAddress(),
    });
    this.postEvery(WRITE_INTERVAL_MS, {kind: 'tick'});
  }

  protected override receive(message: messages.PlacementMessage): void {
    switch (message.kind) {
      case 'membersChanged':
        this.isWriter =
          decisions.chooseShareWriter(message.servingMembers, this.region) ===
          message.selfId;
        return;
      case 'readShares':
        void this.readShares().then(message.reply);
        return;
      case 'setShares':
        this.services.set(message.shares.serviceId, message.shares);
        this.hasChange = true;
        return;
      case 'written':
        this.handleWritten(message.result, message.row);
        return;
      case 'tick':
        this.writeChange();
        return;
      default:
        errors.throwUnreachable(message);
    }
  }

  private async readShares(): Promise<readonly entry.StoredShares[]> {
    const result = await this.getService(
      store.STORE,
    ).ask<store.PlacementReadResult>(reply => ({kind: 'readPlacement', reply}));
    switch (result.kind) {
      case 'unavailable':
        return [];
      case 'snapshot': {
        for (const {key, reason} of result.unreadableRows)
          this.log('warn', 'rowUnreadable', {row: key, reason});
        const row = result.rows.find(({region}) => region === this.region);
        const usable = (row?.services ?? []).filter(decisions.isUsableShares);
        // A later write contains all services, also those whose shares have not changed since.
        for (const shares of usable)
          if (!this.services.has(shares.serviceId))
            this.services.set(shares.serviceId, shares);
        return usable;
      }
      default:
        return errors.throwUnreachable(result);
    }
  }

  private writeChange(): void {
    if (!this.hasChange || !this.isWriter) return;
    this.hasChange = false;
    const row = {region: this.region, services: [...this.services.values()]};
    void this.getService(store.STORE)
      .ask<store.StoreWriteResult>(reply => ({
        kind: 'writePlacement',
        row,
        reply,
      }))
      .then(result => this.getAddress().post({kind: 'written', result, row}));
  }

  private handleWritten(
    result: store.StoreWriteResult,
    row: entry.PlacementRow,
  ): void {
    switch (result.kind) {
      case 'written':
        this.log('info', 'sharesStored', {
          region: row.region,
          services: row.services.length,
        });
        this.count('placement_writes');
        return;
      case 'unavailable':
        this.hasChange = true;
        return;
      default:
        errors.throwUnreachable(result);
    }
  }
}
