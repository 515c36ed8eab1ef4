import type * as configurations from '../../model/configuration/index.js';

/** Whether a process is stopping. */
export type Lifecycle =
  | {readonly kind: 'running'}
  /** Callers are asked to use other VMs. Times are monotonic, in milliseconds. */
  | {
      readonly kind: 'stopping';

      /** Until when callers that do not know of the stop yet are served like before. */
      readonly steersAwayUntilMs: number;

      /** The latest deadline of a request that is certain to be over before requests are cut off. */
      readonly lastDeadlineMs: number;
    };

/** A request as far as its admission by a stopping process depends on it. */
export interface StoppableRequest {
  readonly execution: configurations.RouteExecution;

  /** Monotonic time in milliseconds by which the request has a final answer. */
  readonly deadlineMs: number;
}

/**
 * Whether a process still admits a request, so that its end cuts no request off. A request that must run at most once
 * is admitted only if its deadline passes before the process closes connections. One that may be repeated is also
 * admitted while callers switch to other VMs: most are answered long before their deadlines.
 */
export function isAdmittedWhileStopping(
  lifecycle: Lifecycle,
  request: StoppableRequest,
  nowMs: number,
): boolean {
  switch (lifecycle.kind) {
    case 'running':
      return true;
    case 'stopping':
      if (request.deadlineMs <= lifecycle.lastDeadlineMs) return true;
      return (
        request.execution === 'idempotent' &&
        nowMs < lifecycle.steersAwayUntilMs
      );
  }
}
