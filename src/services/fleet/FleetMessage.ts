import * as kernel from '../../kernel/index.js';
import type * as fleet from '../../model/fleet/index.js';
import type * as peers from '../../model/peers/index.js';
import type * as platform from '../../model/platform/index.js';
import type * as peersService from '../peers/index.js';
import type * as views from './FleetView.js';

/** Tells a subscriber of the fleet's newest state. */
export interface FleetChanged {
  readonly kind: 'fleetChanged';
  readonly view: views.FleetView;
}

/** One VM as operators see it. */
export interface VmStatus {
  readonly vm: fleet.VmRecord;
  readonly slotIndex: number | undefined;
  readonly isAnswering: boolean;
  readonly isStopping: boolean;
  readonly configurationVersion: number;
}

/** How far a version of the configuration has come. */
export interface VersionSpread {
  /** Whether a majority of the slots' holders has it. */
  readonly isAccepted: boolean;

  /** VMs where it is in force. */
  readonly inForceVmIds: readonly string[];

  /** VMs that have not said so. */
  readonly missingVmIds: readonly string[];
}

/** What the fleet service takes. */
export type FleetMessage =
  | {
      readonly kind: 'subscribe';
      readonly subscriber: kernel.Address<FleetChanged>;
    }
  /** The table was read; a row that is missing has never been written. */
  | {
      readonly kind: 'tableRead';
      readonly sentAtMs: number;
      readonly fleetRow: platform.TableRow | undefined;
      readonly configurationVersion: number;
    }
  | {readonly kind: 'configurationApplied'; readonly version: number}
  /** A peer handed its map on. */
  | {readonly kind: 'mapReceived'; readonly map: fleet.FleetMap}
  | {
      readonly kind: 'heartbeat';
      readonly status: peers.PeerStatus;
      readonly reply: kernel.Reply<peers.PeerStatus>;
    }
  | {
      readonly kind: 'heartbeatAnswered';
      readonly processId: string;
      readonly sentAtMs: number;
      readonly result: peersService.CallResult;
    }
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
  | {
      readonly kind: 'awaitVersion';
      readonly version: number;
      /** Monotonic time in milliseconds after which the answer comes in any case. */
      readonly deadlineMs: number;
      readonly reply: kernel.Reply<VersionSpread>;
    };

/** The fleet service. */
export const FLEET = kernel.getServiceName<FleetMessage>('fleet');
