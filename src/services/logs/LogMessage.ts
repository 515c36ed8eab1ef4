import * as kernel from '../../kernel/index.js';
import type * as events from './EventName.js';

/** The values of an event's line; none may hold a key or a body. */
export type LogFields = Readonly<Record<string, string | number | boolean>>;

/** What the log service takes. */
export interface LogMessage {
  readonly kind: 'event';
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  readonly name: events.EventName;

  /** The values, or what gets them when the line is written at all. */
  readonly fields: LogFields | (() => LogFields);
}

/** The log service. */
export const LOG = kernel.getServiceName<LogMessage>('log');
