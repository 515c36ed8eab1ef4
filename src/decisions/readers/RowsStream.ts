import type * as entry from '../../model/entry/index.js';
import type * as peers from '../../model/peers/index.js';

/** One change of the upstreams' rows. */
interface StreamStep {
  readonly step: number;

  /** The upstreams whose rows were added, changed or removed. */
  readonly upstreamIds: readonly string[];
}

/** A reader's rows of the upstreams and their latest changes. Read-only: each read creates a new stream. */
export interface RowsStream {
  readonly step: number;

  /** The reader's monotonic time in milliseconds at which the latest successful read was sent. */
  readonly currentAtMs: number;
  readonly position: entry.StorePosition;
  readonly records: ReadonlyMap<string, entry.UpstreamRecord>;
  readonly expiredIds: readonly string[];

  /** The latest steps, oldest first. */
  readonly history: readonly StreamStep[];
}

/** The number of steps that a reader keeps; a VM that has missed more gets all rows. */
const MAX_STEPS = 64;

/** Gets the stream after a successful read, which is a step only when rows differ for receivers. */
export function advanceStream(
  previous: RowsStream | undefined,
  rows: entry.UpstreamRows,
  currentAtMs: number,
): RowsStream {
  const records = new Map(
    rows.upstreams.map(record => [record.upstreamId, record]),
  );
  const {position, expiredIds} = rows;
  const latest = {currentAtMs, position, records, expiredIds};
  if (previous === undefined) return {...latest, step: 1, history: []};
  const upstreamIds = getChangedIds(previous.records, records);
  if (upstreamIds.length === 0)
    return {...latest, step: previous.step, history: previous.history};
  const step = previous.step + 1;
  return {
    ...latest,
    step,
    history: [...previous.history, {step, upstreamIds}].slice(-MAX_STEPS),
  };
}

/**
 * Gets what a reader announces of the upstreams' rows to a VM.
 *
 * @param acknowledged The last step that the VM acknowledged; 'nothing' when it has never answered.
 */
export function getUpstreamsAnnouncement(
  stream: RowsStream,
  acknowledged: AcknowledgedStep,
): peers.UpstreamsAnnouncement {
  const {step, currentAtMs, position, expiredIds} = stream;
  const build = (
    extent: peers.RowsExtent,
    upstreams: readonly entry.UpstreamRecord[],
  ) => ({
    step,
    currentAtMs,
    extent,
    rows: {position, upstreams, expiredIds},
  });
  switch (acknowledged.kind) {
    case 'unknown':
      return build({kind: 'unchanged'}, []);
    case 'missing':
      return build({kind: 'all'}, [...stream.records.values()]);
    case 'step': {
      const fromStep = acknowledged.step;
      if (fromStep === step) return build({kind: 'unchanged'}, []);
      const missed = stream.history.filter(entry => entry.step > fromStep);
      if (missed.length === 0 || missed[0].step !== fromStep + 1)
        return build({kind: 'all'}, [...stream.records.values()]);
      const ids = [...new Set(missed.flatMap(({upstreamIds}) => upstreamIds))];
      return build(
        {
          kind: 'changes',
          fromStep,
          removedIds: ids.filter(id => !stream.records.has(id)),
        },
        ids.flatMap(id => stream.records.get(id) ?? []),
      );
    }
  }
}

/** What a VM has of a reader's stream, as far as the reader knows. */
export type AcknowledgedStep =
  /** The VM has not answered yet. */
  | {readonly kind: 'unknown'}
  /** The VM has answered that it needs all rows. */
  | {readonly kind: 'missing'}
  | {readonly kind: 'step'; readonly step: number};

function getChangedIds(
  previous: ReadonlyMap<string, entry.UpstreamRecord>,
  current: ReadonlyMap<string, entry.UpstreamRecord>,
): readonly string[] {
  const ids: string[] = [];
  for (const [id, record] of current) {
    const known = previous.get(id);
    if (known === undefined || differsForReceivers(known, record)) ids.push(id);
  }
  for (const id of previous.keys()) if (!current.has(id)) ids.push(id);
  return ids;
}

/** Whether two rows of an upstream differ in more than their revision and remaining cold time. */
function differsForReceivers(
  known: entry.UpstreamRecord,
  record: entry.UpstreamRecord,
): boolean {
  return (
    known !== record &&
    (known.state !== record.state ||
      known.startedAtMs !== record.startedAtMs ||
      known.host !== record.host ||
      known.port !== record.port ||
      known.serviceId !== record.serviceId ||
      known.region !== record.region ||
      known.failureDomain !== record.failureDomain ||
      known.slotCount !== record.slotCount)
  );
}
