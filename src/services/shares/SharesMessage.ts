import * as kernel from '../../kernel/index.js';
import type * as knowledgeService from '../knowledge/KnowledgeMessage.js';
import type * as membersService from '../members/MembersMessage.js';

/** Whether an organisation's limit admits one more request now. */
export type ShareResult =
  | {readonly kind: 'granted'}
  | {readonly kind: 'abandoned'}
  | {
      readonly kind: 'refused';
      /** Monotonic time in milliseconds from which the request may be retried. */
      readonly retryAtMs: number;

      /** The limit of the whole fleet, in requests a second. */
      readonly limitPerSecond: number;

      /** Why the limit did not admit the request, as text. */
      readonly reason: string;
    };

/** The messages that the shares service receives. */
export type SharesMessage =
  | knowledgeService.OperatorRowsChanged
  | membersService.MembersChanged
  | {
      readonly kind: 'admit';
      readonly organisationId: string;

      /** Aborted when the caller has disconnected; the request then doesn't count towards the limit. */
      readonly abandoned: AbortSignal;
      readonly reply: kernel.Reply<ShareResult>;
    }
  /** Asks this VM to lend requests to another VM; the reply is the number that it lends. */
  | {
      readonly kind: 'lend';
      readonly organisationId: string;
      readonly wantedCount: number;
      readonly reply: kernel.Reply<number>;
    }
  /** The number of requests that an organisation's lender has lent to this VM. */
  | {
      readonly kind: 'lent';
      readonly organisationId: string;
      readonly lentCount: number;
    }
  | {readonly kind: 'tick'};

/** The name of the shares service, which admits requests within organisations' limits. */
export const SHARES = kernel.createServiceName<SharesMessage>('shares');
