import * as kernel from '../../kernel/index.js';
import type * as knowledgeService from '../knowledge/KnowledgeMessage.js';
import type * as membersService from '../members/MembersMessage.js';

/** Whether an organisation may run one more request now. */
export type ShareResult =
  | {readonly kind: 'granted'}
  | {
      readonly kind: 'refused';
      /** Monotonic time in milliseconds from which a repeat makes sense. */
      readonly retryAtMs: number;

      /** The limit, this VM's part of it and what its callers ask for, in requests a second. */
      readonly limitPerSecond: number;
      readonly sharePerSecond: number;
      readonly demandPerSecond: number;
    };

/** What the shares service takes. */
export type SharesMessage =
  | knowledgeService.OperatorRowsChanged
  | membersService.MembersChanged
  | {
      readonly kind: 'admit';
      readonly organisationId: string;
      readonly reply: kernel.Reply<ShareResult>;
    }
  | {readonly kind: 'tick'};

/** The shares service. */
export const SHARES = kernel.getServiceName<SharesMessage>('shares');
