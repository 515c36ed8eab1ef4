import type * as upstreams from '../../../standins/store/PublishedUpstream.js';
import type * as records from './SoakRecord.js';

/** Bounds of the platform's pages, in milliseconds. */
const DRAIN_MS = 2500;
const CONFIGURATION_MS = 2500;
const EVACUATION_MS = 5000;

/** How long in milliseconds nothing must have disturbed a VM for the bounds to hold there. */
const CALM_MS = 4000;

/** How long in milliseconds upstreams may go on with the work of a caller that has left. */
const DEPARTURE_MS = 500;

/** How long after its stop a VM's requests count as cut by it: the grace period and a second. */
const STOP_MS = 7000;

/** Statuses that promise that a request has not run and never will. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

interface Run extends upstreams.PublishedRun {
  readonly upstreamId: string;
}

/** Gets every promise of the pages that a soak's callers and upstreams saw broken, a line each. */
export function findViolations(record: records.SoakRecord): readonly string[] {
  const runs = new Map<string, Run[]>();
  for (const upstream of record.upstreams)
    for (const run of upstream.runs) {
      const known = runs.get(run.requestId) ?? [];
      known.push({...run, upstreamId: upstream.upstreamId});
      runs.set(run.requestId, known);
    }
  const sent = new Map(
    record.requests.map(request => [request.requestId, request]),
  );
  const violations: string[] = [];
  for (const requestId of runs.keys())
    if (!sent.has(requestId)) violations.push(`UNASKED ${requestId}`);
  for (const request of record.requests) {
    const own = runs.get(request.requestId) ?? [];
    violations.push(
      ...findInAnswer(request, own),
      ...findInRuns(record, request, own),
      ...findLateRuns(record, request, own),
      ...findCut(record, request, own),
      ...findWorkForNobody(record, request, own),
    );
  }
  return violations;
}

function findInAnswer(
  request: records.SoakRequest,
  runs: readonly Run[],
): readonly string[] {
  const {requestId, httpStatus, isUnsafe, text} = request;
  if (httpStatus === 200 && text !== `answer to ${requestId}`)
    return [`MIXED ${requestId}: ${text}`];
  if (httpStatus === 200 && runs.length === 0)
    return [`MIXED ${requestId}: answered and not run`];
  const isPromised =
    httpStatus !== undefined && NOT_RUN_STATUSES.includes(httpStatus);
  if (isPromised && isUnsafe && runs.length > 0)
    return [`REFUSED ${requestId}: ${httpStatus} and run`];
  return [];
}

function findInRuns(
  record: records.SoakRecord,
  request: records.SoakRequest,
  runs: readonly Run[],
): readonly string[] {
  const {requestId, isUnsafe, key, target} = request;
  const violations: string[] = [];
  if (isUnsafe && runs.length > 1)
    violations.push(`TWICE ${requestId}: ${runs.length} runs`);
  for (const run of runs) {
    const organisation = record.organisationsByKey.get(key);
    if (run.headers['x-tenant'] !== organisation)
      violations.push(`UNASKED ${requestId}: for ${String(organisation)}`);
    if (run.headers.authorization !== undefined)
      violations.push(`UNASKED ${requestId}: the key was passed on`);
    const body = isUnsafe ? 'the body' : '';
    if (run.target !== target || run.body !== body)
      violations.push(`UNASKED ${requestId}: ${run.method} ${run.target}`);
  }
  return violations;
}

/** Runs after a withdrawal's bound, through a VM that was undisturbed. */
function findLateRuns(
  record: records.SoakRecord,
  request: records.SoakRequest,
  runs: readonly Run[],
): readonly string[] {
  const violations: string[] = [];
  const {requestId, vm, key, sentAtMs, endedAtMs} = request;
  if (!isCalm(record, vm, sentAtMs, endedAtMs)) return violations;
  for (const withdrawal of record.withdrawals)
    switch (withdrawal.kind) {
      case 'upstream':
        for (const run of runs)
          if (
            run.upstreamId === withdrawal.upstreamId &&
            run.atMs > withdrawal.atMs + DRAIN_MS
          )
            violations.push(
              `DRAIN ${requestId}: ${run.atMs - withdrawal.atMs} ms`,
            );
        break;
      case 'key':
        if (
          withdrawal.key === key &&
          sentAtMs > withdrawal.atMs + CONFIGURATION_MS &&
          runs.length > 0
        )
          violations.push(
            `CONFIG ${requestId}: ${sentAtMs - withdrawal.atMs} ms`,
          );
        break;
      case 'domain':
        for (const run of runs)
          if (
            withdrawal.upstreamIds.includes(run.upstreamId) &&
            run.atMs > withdrawal.atMs + EVACUATION_MS &&
            run.atMs < withdrawal.untilMs
          )
            violations.push(
              `EVAC ${requestId}: ${run.atMs - withdrawal.atMs} ms`,
            );
        break;
    }
  return violations;
}

/** Requests that a planned stop cut while nothing else disturbed their VM. */
function findCut(
  record: records.SoakRecord,
  request: records.SoakRequest,
  runs: readonly Run[],
): readonly string[] {
  const {requestId, vm, httpStatus, sentAtMs, endedAtMs, leftAtMs} = request;
  if (httpStatus !== undefined || runs.length === 0) return [];
  if (leftAtMs !== undefined) return [];
  const isStopping = record.disturbances.some(
    disturbance =>
      disturbance.isPlanned &&
      disturbance.vm === vm &&
      endedAtMs >= disturbance.fromMs &&
      endedAtMs <= disturbance.fromMs + STOP_MS,
  );
  const isOtherwiseCalm = !record.disturbances.some(
    disturbance =>
      !disturbance.isPlanned && touches(disturbance, vm, sentAtMs, endedAtMs),
  );
  return isStopping && isOtherwiseCalm
    ? [`LOST ${requestId}: cut by a stop`]
    : [];
}

/** Runs that came, or were worked on, long after the caller had left a VM that was undisturbed. */
function findWorkForNobody(
  record: records.SoakRecord,
  request: records.SoakRequest,
  runs: readonly Run[],
): readonly string[] {
  const {requestId, vm, sentAtMs, leftAtMs} = request;
  if (leftAtMs === undefined) return [];
  const boundAtMs = leftAtMs + DEPARTURE_MS;
  if (!isCalm(record, vm, sentAtMs, boundAtMs)) return [];
  return runs.flatMap(run => {
    const upstream = record.upstreams.find(
      known => known.upstreamId === run.upstreamId,
    );
    const endMs = upstream?.getWorkEndMs(requestId) ?? Infinity;
    const lateMs = Math.max(run.atMs, endMs) - boundAtMs;
    return lateMs > 0 ? [`GONE ${requestId}: ${lateMs} ms too long`] : [];
  });
}

function isCalm(
  record: records.SoakRecord,
  vm: number,
  fromMs: number,
  toMs: number,
): boolean {
  return !record.disturbances.some(disturbance =>
    touches(disturbance, vm, fromMs, toMs),
  );
}

function touches(
  disturbance: records.Disturbance,
  vm: number,
  fromMs: number,
  toMs: number,
): boolean {
  const isConcerned = disturbance.vm === undefined || disturbance.vm === vm;
  return (
    isConcerned &&
    disturbance.fromMs <= toMs &&
    disturbance.toMs >= fromMs - CALM_MS
  );
}
