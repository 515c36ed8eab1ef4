import type * as entry from '../entry/index.js';
import type * as configurations from '../configuration/index.js';
import type * as fleet from '../fleet/index.js';
import type * as operations from '../operations/index.js';
import type * as announcements from './RowsAnnouncement.js';

/** The status that a process sends with each heartbeat and with each response to a heartbeat. */
export interface PeerStatus {
  readonly processId: string;
  readonly vmId: string;

  /** The newest version of the configuration that is in force on the process. */
  readonly configurationVersion: number;

  /** The newest version of the fleet map that the process has read. */
  readonly fleetVersion: number;

  /** Whether the process holds a slot that counts towards majorities. */
  readonly isCounted: boolean;

  /** Whether the process is stopping and accepts no new callers. */
  readonly isStopping: boolean;
}

/** An organisation whose shares its home process asks to borrow. */
export interface BorrowEntry {
  readonly organisationId: string;
}

/** The shares of an organisation's limit that a loan transfers, with the tokens in them. */
export interface LoanEntry {
  readonly organisationId: string;
  readonly slotIndexes: readonly number[];
  readonly levelTokens: number;
}

/** The state of a claim as reported by the process that holds it. */
export type ClaimReport =
  /** The holder has dispatched the request to an upstream, or may still do so. */
  | {readonly kind: 'inProgress'}
  /** The holder has the upstream's response. */
  | {readonly kind: 'answered'; readonly answer: operations.StoredAnswer}
  /** The holder has not dispatched the request and never will: the claim can be replaced. */
  | {readonly kind: 'abandoned'}
  /** The holder dispatched the request, and the outcome is unknown. */
  | {readonly kind: 'unknown'}
  /** The process that held the claim no longer exists; a different one responds at its address. */
  | {readonly kind: 'gone'};

/** A request that may crash upstreams, as one process reports it to another. */
export interface SuspectReport {
  /** The SHA-256 digest of the request, in hexadecimal. */
  readonly requestDigestHex: string;

  /** How often answers have cleared the request. */
  readonly generation: number;

  /** The number of crashes in a row since then. */
  readonly crashCount: number;

  /** Upstreams that crashed since then, also side by side. */
  readonly upstreamIds: readonly string[];

  /** Time in milliseconds until the request may be sent once more as a trial. */
  readonly trialInMs: number;

  /** Time in milliseconds until the record expires. */
  readonly expiresInMs: number;
}

/** A request of one daemon to another. */
export type PeerRequest =
  | {readonly kind: 'heartbeat'; readonly status: PeerStatus}
  /** Asks the receiver to lend its shares of the organisations' limits for `termMs` milliseconds. */
  | {
      readonly kind: 'borrowShares';
      readonly borrowerProcessId: string;
      /** Increases with each loan request of the borrower to the same lender. */
      readonly loanSequence: number;
      readonly termMs: number;
      readonly entries: readonly BorrowEntry[];
    }
  /** Returns shares borrowed from the receiver. */
  | {
      readonly kind: 'returnShares';
      readonly borrowerProcessId: string;
      /** The sequence number of the borrower's latest loan request to this lender. */
      readonly loanSequence: number;
      readonly entries: readonly LoanEntry[];
    }
  /** Asks the receiver for tokens of an organisation's limit, to be spent within `termMs` milliseconds. */
  | {
      readonly kind: 'takeTokens';
      readonly organisationId: string;
      readonly grantId: string;
      readonly tokens: number;
      readonly termMs: number;
    }
  /** Asks whether the receiver would grant a token of an organisation's limit now; it grants none. */
  | {
      readonly kind: 'previewTokens';
      readonly organisationId: string;
      readonly termMs: number;
    }
  /** Reports how many of the granted tokens were not spent. */
  | {
      readonly kind: 'settleTokens';
      readonly organisationId: string;
      readonly grantId: string;
      readonly unspentTokens: number;
    }
  /** Asks the receiver for the state of a claim that it holds. */
  | {
      readonly kind: 'askClaim';
      readonly attemptId: string;
      readonly processId: string;
    }
  /** Reports the suspect requests that the sender knows; the answer has those of the receiver. */
  | {
      readonly kind: 'exchangeSuspects';
      readonly suspects: readonly SuspectReport[];
    }
  | {readonly kind: 'getSharedState'}
  | {readonly kind: 'getKnowledge'}
  /** Announces rows that the sender read from the store for the VMs of its region. */
  | {
      readonly kind: 'announceRows';
      readonly announcement: announcements.RowsAnnouncement;
    }
  /** Asks a peer to lend up to `wantedCount` requests of its share of an organisation's limit. */
  | {
      readonly kind: 'borrowRequests';
      readonly organisationId: string;
      readonly wantedCount: number;
    };

/** The response of one daemon to a request of another. */
export type PeerAnswer =
  | {readonly kind: 'status'; readonly status: PeerStatus}
  | {readonly kind: 'loans'; readonly entries: readonly LoanEntry[]}
  | {readonly kind: 'done'}
  | {
      readonly kind: 'tokens';
      readonly grantedTokens: number;
      readonly retryAfterMs: number;
    }
  | {readonly kind: 'lent'; readonly lentCount: number}
  | {readonly kind: 'suspects'; readonly suspects: readonly SuspectReport[]}
  | {readonly kind: 'claim'; readonly report: ClaimReport}
  | {
      readonly kind: 'sharedState';
      readonly configuration: configurations.Configuration;
      readonly fleetMap?: fleet.FleetMap | undefined;
    }
  | {
      readonly kind: 'knowledge';
      readonly operatorRows?: entry.OperatorRows | undefined;
      readonly upstreamRows?: entry.UpstreamRows | undefined;
    }
  | {
      readonly kind: 'rowsReceived';
      readonly receipt: announcements.RowsReceipt;
    };
