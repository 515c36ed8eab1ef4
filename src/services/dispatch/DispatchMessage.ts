import * as kernel from '../../kernel/index.js';
import type * as entry from '../../model/entry/index.js';
import type * as errors from '../../model/errors/index.js';
import type * as knowledgeService from '../knowledge/KnowledgeMessage.js';
import type * as membersService from '../members/MembersMessage.js';

/** A request that may run. */
export interface EntryDispatch {
  readonly request: entry.EntryRequest;
  readonly route: entry.EntryRoute;
  readonly organisation: entry.EntryOrganisation | undefined;

  /** Monotonic time in milliseconds at which the caller gets a final answer. */
  readonly deadlineMs: number;

  /** Aborted when the caller has left. */
  readonly abandoned: AbortSignal;
}

/** What came of a request. */
export type DispatchOutcome =
  | {readonly kind: 'answered'; readonly answer: entry.EntryAnswer}
  /** The caller left. */
  | {readonly kind: 'abandoned'}
  /** No upstream ran it, nor ever will. */
  | {
      readonly kind: 'notRun';
      readonly error: errors.ErrorKind;
      readonly message: string;

      /** Monotonic time in milliseconds from which a repeat makes sense. */
      readonly retryAtMs: number;
    }
  | {
      readonly kind: 'mayHaveRun';
      readonly error: errors.ErrorKind;
      readonly message: string;
    };

/** What the dispatch service takes. */
export type DispatchMessage =
  | knowledgeService.OperatorRowsChanged
  | knowledgeService.UpstreamRowsChanged
  | membersService.MembersChanged
  | {
      readonly kind: 'dispatch';
      readonly dispatch: EntryDispatch;
      readonly reply: kernel.Reply<DispatchOutcome>;
    }
  | {readonly kind: 'tick'};

/** The dispatch service. */
export const DISPATCH = kernel.getServiceName<DispatchMessage>('dispatch');
