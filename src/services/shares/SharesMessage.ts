import * as kernel from '../../kernel/index.js';
import type * as knowledgeService from '../knowledge/KnowledgeMessage.js';
import type * as membersService from '../members/MembersMessage.js';

/** Whether an organisation may run one more request now. */
export type ShareResult =
  | {readonly kind: 'granted'}
  | {readonly kind: 'abandoned'}
  | {
      readonly kind: 'refused';
      /** Monotonic time in milliseconds from which a repeat makes sense. */
      readonly retryAtMs: number;

      /** The limit in requests a second, and what decided beside it. */
      readonly limitPerSecond: number;
      readonly reason: string;
    };

/** What the shares service takes. */
export type SharesMessage =
  | knowledgeService.OperatorRowsChanged
  | membersService.MembersChanged
  | {
      readonly kind: 'admit';
      readonly organisationId: string;

      /** Aborted when the caller has left; the request then takes nothing of the limit. */
      readonly abandoned: AbortSignal;
      readonly reply: kernel.Reply<ShareResult>;
    }
  /** Asks for requests that another VM's callers want to run; the answer says for how many. */
  | {
      readonly kind: 'lend';
      readonly organisationId: string;
      readonly wantedCount: number;
      readonly reply: kernel.Reply<number>;
    }
  /** How many requests of an organisation its lender gives. */
  | {
      readonly kind: 'lent';
      readonly organisationId: string;
      readonly lentCount: number;
    }
  | {readonly kind: 'tick'};

/** The shares service. */
export const SHARES = kernel.getServiceName<SharesMessage>('shares');
