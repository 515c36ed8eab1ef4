import * as kernel from '../../kernel/index.js';
import type * as entry from '../../model/entry/index.js';
import type * as membersService from '../members/MembersMessage.js';
import type * as store from '../store/index.js';

/** The messages that the placement service receives. */
export type PlacementMessage =
  | membersService.MembersChanged
  /** Asks for the shares that the store holds for this VM's region; the reply is empty if there are none. */
  | {
      readonly kind: 'readShares';
      readonly reply: kernel.Reply<readonly entry.StoredShares[]>;
    }
  /** Reports the present shares of a service, after they have changed. */
  | {readonly kind: 'setShares'; readonly shares: entry.StoredShares}
  | {
      readonly kind: 'written';
      readonly result: store.StoreWriteResult;
      readonly row: entry.PlacementRow;
    }
  | {readonly kind: 'tick'};

/** The name of the placement service, which keeps the regions' shares in the store. */
export const PLACEMENT =
  kernel.createServiceName<PlacementMessage>('placement');
