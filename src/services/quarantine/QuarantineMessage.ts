import * as kernel from '../../kernel/index.js';
import type * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';
import type * as peers from '../../model/peers/index.js';
import type * as requests from '../../model/requests/index.js';
import type * as fleetService from '../fleet/FleetMessage.js';
import type * as membersService from '../members/MembersMessage.js';

/** What identifies a request over all its attempts, whoever sends them. */
export interface RepeatableRequest {
  /** The organisation of the caller, or an empty string. */
  readonly organisationId: string;
  readonly request: Pick<requests.CallerRequest, 'method' | 'target' | 'body'>;
}

/** An upstream to which a connection broke, and where it listens. */
export interface BrokenUpstream extends entry.SocketAddress {
  readonly upstreamId: string;
}

/** Whether an attempt to send a request to an upstream may begin. */
export type AttemptAdmission =
  | {readonly kind: 'admitted'; readonly mark: decisions.AttemptMark}
  /** The request crashed too many upstreams and must not be sent. */
  | {readonly kind: 'quarantined'; readonly crashCount: number};

/** The messages that the quarantine service receives. */
export type QuarantineMessage =
  | {
      readonly kind: 'admitAttempt';
      readonly repeatable: RepeatableRequest;
      readonly reply: kernel.Reply<AttemptAdmission>;
    }
  /** Asks what `admitAttempt` would decide now; begins no attempt. */
  | {
      readonly kind: 'previewAttempt';
      readonly repeatable: RepeatableRequest;
      readonly reply: kernel.Reply<decisions.QuarantineAdmission>;
    }
  /** An upstream ran the request and answered it. */
  | {readonly kind: 'recordAnswer'; readonly repeatable: RepeatableRequest}
  /**
   * The connection to an upstream broke while it had the request. The reply comes once it is known whether the upstream
   * crashed and, if it did, the peers have been told or a timeout has passed.
   */
  | {
      readonly kind: 'recordBreak';
      readonly repeatable: RepeatableRequest;

      /** The mark with which the attempt was admitted. */
      readonly mark: decisions.AttemptMark;
      readonly upstream: BrokenUpstream;
      readonly reply: kernel.Reply<void>;
    }
  /** A peer reports suspect requests; the reply has those that this process knows. */
  | {
      readonly kind: 'exchangeSuspects';
      readonly suspects: readonly peers.SuspectReport[];
      readonly reply: kernel.Reply<readonly peers.SuspectReport[]>;
    }
  | membersService.SuspectsAnnounced
  | membersService.MembersChanged
  | fleetService.FleetChanged
  | {readonly kind: 'tick'};

/** The name of the quarantine service, which recognises requests that crash upstreams. */
export const QUARANTINE =
  kernel.createServiceName<QuarantineMessage>('quarantine');
