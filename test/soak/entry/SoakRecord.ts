import type * as upstreams from '../../../standins/store/PublishedUpstream.js';

/** One request of a soak's callers, as they saw it; times are wall-clock milliseconds. */
export interface SoakRequest {
  readonly requestId: string;
  readonly isUnsafe: boolean;
  readonly key: string;
  readonly target: string;
  readonly vm: number;
  readonly sentAtMs: number;
  readonly endedAtMs: number;

  /** When its caller left without waiting for the answer, or nothing when it waited. */
  readonly leftAtMs: number | undefined;

  /** The status, or nothing when the connection ended without an answer. */
  readonly httpStatus: number | undefined;
  readonly text: string;
}

/** A time in which a VM, or all, did not work undisturbed. */
export interface Disturbance {
  readonly vm: number | undefined;
  readonly isPlanned: boolean;
  readonly fromMs: number;
  readonly toMs: number;
}

/** An upstream that left, was emptied, or a key that was taken away. */
export type Withdrawal =
  | {
      readonly kind: 'upstream';
      readonly upstreamId: string;
      readonly atMs: number;
    }
  | {readonly kind: 'key'; readonly key: string; readonly atMs: number}
  | {
      readonly kind: 'domain';
      readonly upstreamIds: readonly string[];
      readonly atMs: number;
      readonly untilMs: number;
    };

/** All that a soak saw. */
export interface SoakRecord {
  readonly requests: readonly SoakRequest[];
  readonly upstreams: readonly upstreams.PublishedUpstream[];
  readonly disturbances: readonly Disturbance[];
  readonly withdrawals: readonly Withdrawal[];
  readonly organisationsByKey: ReadonlyMap<string, string>;
}
