import * as kernel from '../../kernel/index.js';
import type * as entry from '../../model/entry/index.js';
import type * as errors from '../../model/errors/index.js';
import type * as knowledgeService from '../knowledge/KnowledgeMessage.js';
import type * as membersService from '../members/MembersMessage.js';

/** How much longer than its deadline a request may take whose upstream does not answer. */
export const MAX_OVERTIME_MS = 200;

/** An admitted request that is to be sent to an upstream. */
export interface EntryDispatch {
  readonly request: entry.EntryRequest;
  readonly route: entry.EntryRoute;
  readonly organisation: entry.EntryOrganisation | undefined;

  /** Monotonic time in milliseconds by which the caller must have a final answer. */
  readonly deadlineMs: number;

  /** Aborted when the caller disconnects, and when the request is cut off. */
  readonly abandoned: AbortSignal;
}

/** The outcome of a dispatched request. */
export type DispatchOutcome =
  | {readonly kind: 'answered'; readonly answer: entry.EntryAnswer}
  /** The caller disconnected, or the request was cut off. */
  | {
      readonly kind: 'abandoned';
      readonly phase: entry.RequestPhase;

      /** Whether an upstream may have run the request. */
      readonly mayHaveRun: boolean;
    }
  /** No upstream ran the request, and none will run it later. */
  | {
      readonly kind: 'notRun';
      readonly error: errors.ErrorKind;
      readonly message: string;
      readonly phase: entry.RequestPhase;

      /** Earliest monotonic time in milliseconds at which the caller should retry. */
      readonly retryAtMs: number;
    }
  | {
      readonly kind: 'mayHaveRun';
      readonly error: errors.ErrorKind;
      readonly message: string;
      readonly phase: entry.RequestPhase;
    };

/** The messages that the dispatch service receives. */
export type DispatchMessage =
  | knowledgeService.OperatorRowsChanged
  | knowledgeService.UpstreamRowsChanged
  | membersService.MembersChanged
  | membersService.UpstreamLeaving
  | {
      readonly kind: 'dispatch';
      readonly dispatch: EntryDispatch;
      readonly reply: kernel.Reply<DispatchOutcome>;
    }
  | {
      readonly kind: 'storedSharesRead';
      readonly services: readonly entry.StoredShares[];
    }
  | {readonly kind: 'tick'}
  | {readonly kind: 'logServiceTimes'};

/** The dispatch service. */
export const DISPATCH = kernel.createServiceName<DispatchMessage>('dispatch');
