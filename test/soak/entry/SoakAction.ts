import * as pureRand from 'pure-rand';
import type * as proxies from '../../../standins/proxy/FaultProxy.js';
import type * as stores from '../../../standins/store/PublishedStore.js';
import type * as upstreams from '../../../standins/store/PublishedUpstream.js';

/** What a soak does to the fleet or around it. */
export type SoakDeed =
  | {readonly kind: 'kill'; readonly vm: number}
  | {readonly kind: 'stop'; readonly vm: number}
  | {readonly kind: 'pause'; readonly vm: number; readonly endsAtMs: number}
  | {
      readonly kind: 'store';
      readonly fault: stores.StoreFault;
      /** The VM whose calls are concerned, or all. */
      readonly vm: number | undefined;
      readonly endsAtMs: number;
    }
  | {readonly kind: 'compact'}
  /** The connections to the store that are open fall silent. */
  | {readonly kind: 'silence'}
  | {
      readonly kind: 'link';
      readonly upstream: number;
      readonly fault: proxies.ProxyFault;
      readonly endsAtMs: number;
    }
  | {
      readonly kind: 'mode';
      readonly upstream: number;
      readonly mode: upstreams.UpstreamMode;
      readonly endsAtMs: number;
    }
  /** An upstream drains, or its entry is just removed; another one comes in its place. */
  | {
      readonly kind: 'leave';
      readonly upstream: number;
      readonly isAnnounced: boolean;
    }
  | {readonly kind: 'revoke'; readonly key: string}
  | {
      readonly kind: 'empty';
      readonly failureDomain: string;
      readonly endsAtMs: number;
    };

/** A deed and its time from the start, in milliseconds. */
export interface SoakAction {
  readonly atMs: number;
  readonly deed: SoakDeed;
}

/** How large a soak is. */
export interface SoakSize {
  readonly vmCount: number;
  readonly upstreamCount: number;
  readonly deedCount: number;

  /** Times of deeds are drawn up to this, in milliseconds from the start. */
  readonly deedsEndAtMs: number;
}

/** Keys that are never taken away, then those that may be. */
export const LASTING_KEYS: readonly string[] = ['k1', 'k2'];
export const PASSING_KEYS: readonly string[] = ['k3', 'k4', 'k5'];

/** The longest and the shortest time in milliseconds for which a fault lasts. */
const FAULT_MIN_MS = 300;
const FAULT_MAX_MS = 3500;

/** How often the connections to the store fall silent in one soak. */
const SILENCE_COUNT = 1;

const STORE_FAULTS: readonly stores.StoreFault[] = [
  {kind: 'refuse', httpStatus: 503},
  {kind: 'refuse', httpStatus: 429},
  {kind: 'reset'},
  {kind: 'silence'},
  {kind: 'delay', delayMs: 240},
  {kind: 'loseWriteAnswers'},
];
const LINK_FAULTS: readonly proxies.ProxyFault[] = [
  {kind: 'delay', delayMs: 80},
  {kind: 'cut'},
  {kind: 'freeze'},
  {kind: 'dropRequests'},
  {kind: 'dropAnswers'},
  {kind: 'truncate', afterBytes: 60},
];
const MODES: readonly upstreams.UpstreamMode[] = [
  'shed',
  'resetAfterRun',
  'crossed',
  'truncate',
  'unframedReset',
  'unframed',
  'silent',
  'replaced',
];
const KINDS: readonly Exclude<SoakDeed['kind'], 'silence'>[] = [
  'kill',
  'stop',
  'pause',
  'store',
  'compact',
  'link',
  'mode',
  'leave',
  'revoke',
  'empty',
];

/** Draws the deeds of a soak: they come in series and overlap. */
export function drawActions(
  seed: number,
  size: SoakSize,
): readonly SoakAction[] {
  const random = pureRand.xoroshiro128plus(seed);
  const draw = (from: number, to: number) =>
    pureRand.unsafeUniformIntDistribution(from, to, random);
  const pick = <T>(values: readonly T[]) => values[draw(0, values.length - 1)];
  const drawDeed = (atMs: number): SoakDeed => {
    const kind = pick(KINDS);
    const vm = draw(0, size.vmCount - 1);
    const upstream = draw(0, size.upstreamCount - 1);
    const endsAtMs = atMs + draw(FAULT_MIN_MS, FAULT_MAX_MS);
    switch (kind) {
      case 'kill':
      case 'stop':
        return {kind, vm};
      case 'pause':
        return {kind, vm, endsAtMs};
      case 'store': {
        const isForAll = draw(0, 2) === 0;
        const fault = pick(STORE_FAULTS);
        return {kind, fault, vm: isForAll ? undefined : vm, endsAtMs};
      }
      case 'compact':
        return {kind};
      case 'link':
        return {kind, upstream, fault: pick(LINK_FAULTS), endsAtMs};
      case 'mode':
        return {kind, upstream, mode: pick(MODES), endsAtMs};
      case 'leave':
        return {kind, upstream, isAnnounced: draw(0, 1) === 0};
      case 'revoke':
        return {kind, key: pick(PASSING_KEYS)};
      case 'empty':
        return {kind, failureDomain: 'irbid-a', endsAtMs};
    }
  };
  const deeds = Array.from({length: size.deedCount}, () => {
    const atMs = draw(0, size.deedsEndAtMs);
    return {atMs, deed: drawDeed(atMs)};
  });
  // Drawn last: the other deeds of a seed stay what they were.
  const silences = Array.from({length: SILENCE_COUNT}, () => ({
    atMs: draw(0, size.deedsEndAtMs),
    deed: {kind: 'silence'} as const,
  }));
  return [...deeds, ...silences].sort(
    (first, second) => first.atMs - second.atMs,
  );
}
