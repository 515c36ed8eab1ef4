import * as kernel from '../../kernel/index.js';
import type * as fleet from '../../model/fleet/index.js';
import type * as peers from '../../model/peers/index.js';
import type * as platform from '../../model/platform/index.js';
import type * as peersService from '../peers/index.js';
import type * as views from './FleetView.js';

/** Sends a subscriber the current fleet view of this process. */
export interface FleetChanged {
  readonly kind: 'fleetChanged';
  readonly view: views.FleetView;
}

/** The status of one VM, as shown to operators. */
export interface VmStatus {
  readonly vm: fleet.VmRecord;
  /** The slot that the VM's process holds; undefined for a standby. */
  readonly slotIndex: number | undefined;

  /** Whether the process answered a recent heartbeat of this process. */
  readonly isAnswering: boolean;

  readonly isStopping: boolean;

  /** The configuration version that is in force on the VM; 0 when it is unknown. */
  readonly configurationVersion: number;
}

/** The VMs on which a configuration version is in force, and those on which it is not known to be. */
export interface VersionSpread {
  /** Whether the version is in force on a majority of the slots' holders. */
  readonly isAccepted: boolean;

  /** VMs on which the version, or a newer one, is in force. */
  readonly inForceVmIds: readonly string[];

  /** VMs that have not reported the version, or a newer one, as in force. */
  readonly missingVmIds: readonly string[];
}

/** The messages that the fleet service accepts. */
export type FleetMessage =
  | {
      readonly kind: 'subscribe';
      readonly subscriber: kernel.Address<FleetChanged>;
    }
  /** The platform's table was read successfully; `fleetRow` is undefined when the row has never been written. */
  | {
      readonly kind: 'tableRead';
      /** Monotonic time in milliseconds at which the read was sent. */
      readonly sentAtMs: number;
      readonly fleetRow: platform.TableRow | undefined;
      readonly configurationVersion: number;
    }
  /** A configuration version is in force in this process. */
  | {readonly kind: 'configurationApplied'; readonly version: number}
  /** A peer sent its fleet map to this process. */
  | {readonly kind: 'mapReceived'; readonly map: fleet.FleetMap}
  /** A heartbeat of a peer was received; the reply is the status of this process. */
  | {
      readonly kind: 'heartbeat';
      readonly status: peers.PeerStatus;
      readonly reply: kernel.Reply<peers.PeerStatus>;
    }
  /** A heartbeat that this process sent was answered or failed. */
  | {
      readonly kind: 'heartbeatResult';
      readonly processId: string;
      /** Monotonic time in milliseconds at which the heartbeat was sent. */
      readonly sentAtMs: number;
      readonly result: peersService.CallResult;
    }
  /** The address of a process refused a connection, so the process has terminated. */
  | {readonly kind: 'processDied'; readonly processId: string}
  | {readonly kind: 'tick'}
  | {
      readonly kind: 'getMap';
      readonly reply: kernel.Reply<fleet.FleetMap | undefined>;
    }
  | {
      readonly kind: 'listVms';
      readonly reply: kernel.Reply<readonly VmStatus[]>;
    }
  /** Replies once a configuration version is in force on every VM, at the latest at the deadline. */
  | {
      readonly kind: 'awaitVersion';
      readonly version: number;
      /** Monotonic time in milliseconds after which the reply is sent even if the version is missing on some VMs. */
      readonly deadlineMs: number;
      readonly reply: kernel.Reply<VersionSpread>;
    };

/** The service that tracks the processes of the fleet and the slots that they hold. */
export const FLEET = kernel.createServiceName<FleetMessage>('fleet');
