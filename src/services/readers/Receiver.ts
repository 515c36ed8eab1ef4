import * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';
import type * as peers from '../../model/peers/index.js';

/** Whether an announcement to a receiver is in progress; there is at most one, so that they arrive in order. */
export type Sending =
  | {readonly kind: 'idle'}
  | {
      readonly kind: 'sending';

      /** Whether the announcement holds all that the receiver lacks. */
      readonly isComplete: boolean;

      /** Whether rows have been read since. */
      readonly isOutdated: boolean;
    };

/** A VM to which this VM announces rows, and what that VM has of them. */
export interface Receiver {
  readonly processId: string;
  readonly peersAddress: string;
  readonly acknowledged: decisions.AcknowledgedStep;
  readonly operatorPosition: entry.StorePosition | undefined;
  readonly echo: peers.ClockEcho | undefined;
  readonly sending: Sending;
}

/** Gets the receivers for the members of a region; those of the same process keep their state. */
export function updateReceivers(
  receivers: ReadonlyMap<string, Receiver>,
  members: readonly entry.MemberRecord[],
): ReadonlyMap<string, Receiver> {
  return new Map(
    members.map(({vmId, processId, peersAddress}) => {
      const known = receivers.get(vmId);
      const isSame =
        known?.processId === processId && known.peersAddress === peersAddress;
      return [vmId, isSame ? known : createReceiver(processId, peersAddress)];
    }),
  );
}

function createReceiver(processId: string, peersAddress: string): Receiver {
  return {
    processId,
    peersAddress,
    acknowledged: {kind: 'unknown'},
    operatorPosition: undefined,
    echo: undefined,
    sending: {kind: 'idle'},
  };
}

/** Applies a receiver's answer, which arrived at the monotonic time `nowMs` of this VM, in milliseconds. */
export function applyReceipt(
  receiver: Receiver,
  {clock, upstreamStep, operatorPosition}: peers.RowsReceipt,
  nowMs: number,
): Receiver {
  return {
    ...receiver,
    acknowledged:
      upstreamStep === undefined
        ? {kind: 'missing'}
        : {kind: 'step', step: upstreamStep},
    operatorPosition,
    echo: {receiver: clock, readerAtMs: nowMs},
  };
}

/** Whether a receiver has the same of the rows in both states. */
export function hasSameRows(a: Receiver, b: Receiver): boolean {
  const stepA = a.acknowledged.kind === 'step' ? a.acknowledged.step : 0;
  const stepB = b.acknowledged.kind === 'step' ? b.acknowledged.step : 0;
  return (
    a.acknowledged.kind === b.acknowledged.kind &&
    stepA === stepB &&
    decisions.isSamePosition(a.operatorPosition, b.operatorPosition)
  );
}
