import type * as entry from '../../model/entry/index.js';
import type * as peers from '../../model/peers/index.js';
import * as positions from '../positions/index.js';

/** A row as a reader sent it, and until when its upstream counts as cold, on the reader's clock. */
interface FollowedRecord {
  readonly record: entry.UpstreamRecord;
  readonly coldUntilMs: number;
}

/** What a VM has of one reader's rows. Read-only: each announcement creates a new value. */
export interface FollowedReader {
  readonly processId: string;

  /** The epoch of the reader's clock. */
  readonly epoch: number;

  /** Undefined until an announcement holds an echo of this VM's clock. */
  readonly offset: ClockOffset | undefined;
  readonly step: number | undefined;
  readonly records: ReadonlyMap<string, FollowedRecord>;
  readonly operatorRows: entry.OperatorRows | undefined;
}

/**
 * A lower bound of what has to be added to a time of the reader's clock to get this VM's time. A time converted with it
 * is never too late, however long the announcement took, so that rows never count as newer than they are.
 */
interface ClockOffset {
  readonly offsetMs: number;

  /** This VM's monotonic time in milliseconds at which the bound was set. */
  readonly setAtMs: number;
}

/** How far two clocks may diverge, per unit of time: five times the tolerance of usual quartz clocks. */
const MAX_CLOCK_DRIFT = 0.0005;

/** This VM's clock when an announcement arrived. */
export interface ReceiverClock {
  readonly epoch: number;
  readonly nowMs: number;
}

/** Applies a reader's announcement to what the VM has of that reader's rows. */
export function followAnnouncement(
  previous: FollowedReader | undefined,
  announcement: peers.RowsAnnouncement,
  clock: ReceiverClock,
): FollowedReader {
  const {processId} = announcement;
  const known = previous?.processId === processId ? previous : undefined;
  const {epoch} = announcement.clock;
  const knownOffset = known?.epoch === epoch ? known.offset : undefined;
  return {
    processId,
    epoch,
    offset: updateOffset(knownOffset, announcement.echo, clock),
    ...applyUpstreams(known, announcement.upstreams),
    operatorRows: announcement.operators?.rows ?? known?.operatorRows,
  };
}

/** Drops the bounds of the readers' clocks, after a time in which this VM's own clock stood still. */
export function dropOffset(followed: FollowedReader): FollowedReader {
  return {...followed, offset: undefined};
}

/** Rows that a reader announced, and since when they are current on this VM's clock. */
export interface RowsClaim<R> {
  readonly rows: R;

  /** This VM's monotonic time in milliseconds at which the rows were current; never too late. */
  readonly currentAtMs: number;
}

/** Gets the announced rows of the upstreams; undefined when the VM lacks some of them or a bound of the clock. */
export function getUpstreamsClaim(
  followed: FollowedReader,
  announcement: peers.RowsAnnouncement,
  nowMs: number,
): RowsClaim<entry.UpstreamRows> | undefined {
  const {upstreams} = announcement;
  const {offset, step, records} = followed;
  if (upstreams === undefined || offset === undefined) return undefined;
  if (step !== upstreams.step) return undefined;
  const {position, expiredIds} = upstreams.rows;
  return {
    rows: {
      position,
      expiredIds,
      upstreams: [...records.values()].map(record =>
        withColdTime(record, upstreams.currentAtMs),
      ),
    },
    currentAtMs: toOwnTime(upstreams.currentAtMs, offset, nowMs),
  };
}

/** Gets the announced rows of the operators; undefined when the VM lacks them or a bound of the clock. */
export function getOperatorsClaim(
  followed: FollowedReader,
  announcement: peers.RowsAnnouncement,
  nowMs: number,
): RowsClaim<entry.OperatorRows> | undefined {
  const {operators} = announcement;
  const {offset, operatorRows} = followed;
  if (operators === undefined || offset === undefined) return undefined;
  if (operatorRows === undefined) return undefined;
  if (!positions.isSamePosition(operatorRows.position, operators.position))
    return undefined;
  return {
    rows: operatorRows,
    currentAtMs: toOwnTime(operators.currentAtMs, offset, nowMs),
  };
}

function updateOffset(
  known: ClockOffset | undefined,
  echo: peers.ClockEcho | undefined,
  {epoch, nowMs}: ReceiverClock,
): ClockOffset | undefined {
  const knownMs = known === undefined ? -Infinity : getOffsetMs(known, nowMs);
  // An echo of a time before this VM was suspended says nothing about its clock now.
  const echoedMs =
    echo === undefined || echo.receiver.epoch !== epoch
      ? -Infinity
      : echo.receiver.atMs - echo.readerAtMs;
  const offsetMs = Math.max(knownMs, echoedMs);
  return offsetMs === -Infinity ? undefined : {offsetMs, setAtMs: nowMs};
}

function getOffsetMs({offsetMs, setAtMs}: ClockOffset, nowMs: number): number {
  return offsetMs - MAX_CLOCK_DRIFT * (nowMs - setAtMs);
}

function toOwnTime(
  readerAtMs: number,
  offset: ClockOffset,
  nowMs: number,
): number {
  return Math.min(nowMs, readerAtMs + getOffsetMs(offset, nowMs));
}

function applyUpstreams(
  known: FollowedReader | undefined,
  upstreams: peers.UpstreamsAnnouncement | undefined,
): Pick<FollowedReader, 'step' | 'records'> {
  const step = known?.step;
  const records = known?.records ?? new Map<string, FollowedRecord>();
  if (upstreams === undefined) return {step, records};
  // An announcement that was overtaken by a later one.
  if (step !== undefined && upstreams.step <= step) return {step, records};
  const {extent, rows, currentAtMs} = upstreams;
  switch (extent.kind) {
    case 'unchanged':
      return {step, records};
    case 'all':
      return {
        step: upstreams.step,
        records: addRecords(new Map(), rows.upstreams, currentAtMs),
      };
    case 'changes': {
      if (step === undefined || step < extent.fromStep) return {step, records};
      const kept = new Map(records);
      for (const id of extent.removedIds) kept.delete(id);
      return {
        step: upstreams.step,
        records: addRecords(kept, rows.upstreams, currentAtMs),
      };
    }
  }
}

function addRecords(
  records: Map<string, FollowedRecord>,
  added: readonly entry.UpstreamRecord[],
  currentAtMs: number,
): ReadonlyMap<string, FollowedRecord> {
  for (const record of added)
    records.set(record.upstreamId, {
      record,
      coldUntilMs: currentAtMs + record.coldForMs,
    });
  return records;
}

/** Gets a row as of a later read; readers don't send rows again when only the remaining cold time has changed. */
function withColdTime(
  {record, coldUntilMs}: FollowedRecord,
  readerAtMs: number,
): entry.UpstreamRecord {
  if (record.coldForMs === 0) return record;
  return {...record, coldForMs: Math.max(0, coldUntilMs - readerAtMs)};
}
