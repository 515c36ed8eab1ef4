import type * as entry from '../../model/entry/index.js';

/** How a position or a timeline lies to another one. */
export type PositionOrder = 'older' | 'equal' | 'newer';

/** The timeline of a store that names none. */
export const UNNUMBERED_TIMELINE: entry.StoreTimeline = {kind: 'unnumbered'};

/** The position of a VM that has read nothing. */
export const INITIAL_POSITION: entry.StorePosition = {
  timeline: UNNUMBERED_TIMELINE,
  version: 0,
};

/** Compares a timeline with another one. Numbered timelines are newer: the store began to number them later. */
export function compareTimelines(
  timeline: entry.StoreTimeline,
  other: entry.StoreTimeline,
): PositionOrder {
  return getOrder(getNumber(timeline), getNumber(other));
}

/** Compares a position with another one; the versions count only within a timeline. */
export function comparePositions(
  position: entry.StorePosition,
  other: entry.StorePosition,
): PositionOrder {
  const order = compareTimelines(position.timeline, other.timeline);
  return order === 'equal' ? getOrder(position.version, other.version) : order;
}

/** Whether two positions are the same; a position is the same as none only if both are undefined. */
export function isSamePosition(
  position: entry.StorePosition | undefined,
  other: entry.StorePosition | undefined,
): boolean {
  if (position === undefined || other === undefined) return position === other;
  return comparePositions(position, other) === 'equal';
}

/** Formats a position for log lines: the timeline and the version. */
export function formatPosition({
  timeline,
  version,
}: entry.StorePosition): string {
  return `${formatTimeline(timeline)}:${version}`;
}

/** Formats a timeline for log lines: its number, or `none`. */
export function formatTimeline(timeline: entry.StoreTimeline): string {
  switch (timeline.kind) {
    case 'unnumbered':
      return 'none';
    case 'numbered':
      return String(timeline.number);
  }
}

function getNumber(timeline: entry.StoreTimeline): number {
  switch (timeline.kind) {
    case 'unnumbered':
      return -Infinity;
    case 'numbered':
      return timeline.number;
  }
}

function getOrder(value: number, other: number): PositionOrder {
  if (value === other) return 'equal';
  return value < other ? 'older' : 'newer';
}
