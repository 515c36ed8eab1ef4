import type * as decisions from '../../decisions/index.js';
import * as kernel from '../../kernel/index.js';
import type * as entry from '../../model/entry/index.js';
import type * as knowledgeService from '../knowledge/KnowledgeMessage.js';
import type * as membersService from '../members/MembersMessage.js';

/** The messages that the entry service receives. */
export type EntryMessage =
  | knowledgeService.OperatorRowsChanged
  | knowledgeService.UpstreamRowsChanged
  | membersService.MembersChanged
  | {readonly kind: 'tick'}
  /** Asks whether the process accepts new callers. */
  | {readonly kind: 'isReady'; readonly reply: kernel.Reply<boolean>}
  /** Asks for the VMs that a caller at `location` may use. */
  | {
      readonly kind: 'steer';
      readonly location: decisions.CallerLocation;

      /** From 0 to below 1; decides which VMs are named where VMs differ much. */
      readonly drawFraction: number;
      readonly reply: kernel.Reply<readonly entry.MemberRecord[]>;
    };

/** The entry service. */
export const ENTRY = kernel.createServiceName<EntryMessage>('entry');
