import * as kernel from '../../kernel/index.js';
import type * as events from './EventName.js';

/** The key=value pairs of a log line; no value may contain an API key or a request or response body. */
export type LogFields = Readonly<Record<string, string | number | boolean>>;

/** The message that the log service accepts. */
export interface LogMessage {
  readonly kind: 'event';
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  readonly name: events.EventName;

  /** The fields, or a function that creates them; it is called only if the line is written. */
  readonly fields: LogFields | (() => LogFields);
}

/** The service that writes the log. */
export const LOG = kernel.createServiceName<LogMessage>('log');
