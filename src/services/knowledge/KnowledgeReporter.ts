import * as decisions from '../../decisions/index.js';
import type * as kernel from '../../kernel/index.js';
import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import * as logs from '../logs/LogMessage.js';
import * as metrics from '../metrics/MetricsMessage.js';
import * as intervals from './intervals.js';
import type * as messages from './KnowledgeMessage.js';
import type * as schedules from './ReadSchedule.js';
import * as repeatedWarnings from './RepeatedWarnings.js';

/** How the operators' rows came into force: with a read of the store, of a peer or of a reader. */
export type OperatorRowsSource = 'snapshot' | 'changes' | 'peer' | 'reader';

/** Rows that were read or are held, and the monotonic time in milliseconds at which they were current. */
export interface DatedPosition {
  readonly position: entry.StorePosition;
  readonly currentAtMs: number;
}

/** Reports to the log and the metrics which rows came into force, how old they were, and which were refused. */
export class KnowledgeReporter {
  private readonly bounds: intervals.KnowledgeBounds;
  private readonly warnings = new repeatedWarnings.RepeatedWarnings();
  private context: kernel.TaskContext | undefined;

  /** @param bounds How soon changed rows must take effect. */
  constructor(bounds: intervals.KnowledgeBounds) {
    this.bounds = bounds;
  }

  /** Sets the context from which the reporter gets its clock and services. */
  start(context: kernel.TaskContext): void {
    this.context = context;
  }

  /** Reports a row that this version cannot read, at most once in an interval. */
  reportUnreadable(row: string, reason: string): void {
    if (this.isWarningDue(row))
      this.log('warn', 'rowUnreadable', {row, reason});
  }

  /** Reports that the rows of a reader contradict those in force, at most once in an interval. */
  reportRefusal(
    table: schedules.KnowledgeTable,
    reader: string,
    reason: string,
  ): void {
    if (this.isWarningDue(`${reader} ${table}`))
      this.log('warn', 'readerRowsRefused', {reader, table, reason});
  }

  /** Reports that a read was not applied as usual: passed over for newer rows, or of a new history of the store. */
  reportRead(
    table: schedules.KnowledgeTable,
    decision: decisions.ReadDecision,
    read: DatedPosition,
    held: DatedPosition | undefined,
  ): void {
    if (held === undefined) return;
    switch (decision.kind) {
      case 'advance':
        return;
      case 'overtaken':
        this.count('reads_passed_over');
        if (this.isWarningDue(`passed over ${table}`))
          this.log('warn', 'readPassedOver', this.getFields(table, read, held));
        return;
      case 'replace':
        this.count('rows_replaced');
        this.log('warn', 'rowsReplaced', this.getFields(table, read, held));
        return;
      default:
        errors.throwUnreachable(decision);
    }
  }

  /** Reports that a VM that gets its rows from readers reads the store, with the age of its rows in milliseconds. */
  reportDirectRead(table: schedules.KnowledgeTable, ageMs: number): void {
    this.count('rows_read_directly');
    this.log('debug', 'rowsReadDirectly', {table, ageMs: Math.round(ageMs)});
  }

  /** Reports that the rows of a reader came into force. */
  reportAdoption(): void {
    this.count('rows_adopted');
  }

  /** Reports the age in milliseconds of the operators' rows when newer ones arrive. */
  reportOperatorGap(gapMs: number): void {
    this.observe('knowledge_gap_ms', gapMs);
  }

  /** Reports the operators' rows if they differ from the previous ones, whose age was `gapMs` milliseconds. */
  reportOperatorRows(
    previous: entry.OperatorRows | undefined,
    rows: entry.OperatorRows,
    source: OperatorRowsSource,
    gapMs: number,
  ): void {
    if (
      previous?.configuration === rows.configuration &&
      previous.evacuatedDomains.join() === rows.evacuatedDomains.join()
    )
      return;
    this.log('info', 'configurationApplied', {
      version: rows.configuration.version,
      position: decisions.formatPosition(rows.position),
      evacuated: rows.evacuatedDomains.join(),
      source,
      gapMs: Math.round(gapMs),
    });
  }

  /**
   * Reports the age in milliseconds of the upstreams' rows before and after a change of them; it is logged when it was
   * high. Without effect for the first rows, for which `gapMs` is undefined.
   */
  reportUpstreamGap(
    gapMs: number | undefined,
    readMs: number | undefined,
    source: messages.RowSource,
  ): void {
    if (gapMs === undefined) return;
    this.observe('upstream_rows_gap_ms', gapMs);
    if (gapMs > intervals.getLateRowsMs(this.bounds))
      this.log('warn', 'upstreamRowsLate', {
        gapMs: Math.round(gapMs),
        readMs: Math.round(readMs ?? 0),
        source,
      });
  }

  private isWarningDue(key: string): boolean {
    return this.warnings.isDue(key, this.nowMs());
  }

  private getFields(
    table: schedules.KnowledgeTable,
    read: DatedPosition,
    held: DatedPosition,
  ): logs.LogFields {
    return {
      table,
      readPosition: decisions.formatPosition(read.position),
      readAgeMs: Math.round(this.nowMs() - read.currentAtMs),
      heldPosition: decisions.formatPosition(held.position),
      heldAgeMs: Math.round(this.nowMs() - held.currentAtMs),
    };
  }

  private nowMs(): number {
    return this.getContext().clock.monotonicMs();
  }

  private count(name: metrics.CounterName): void {
    this.getContext()
      .services.getOrThrow(metrics.METRICS)
      .post({kind: 'count', name});
  }

  private observe(name: metrics.HistogramName, valueMs: number): void {
    this.getContext()
      .services.getOrThrow(metrics.METRICS)
      .post({kind: 'observe', name, valueMs});
  }

  private log(
    level: logs.LogMessage['level'],
    name: logs.LogMessage['name'],
    fields: logs.LogMessage['fields'],
  ): void {
    this.getContext()
      .services.getOrThrow(logs.LOG)
      .post({kind: 'event', level, name, fields});
  }

  private getContext(): kernel.TaskContext {
    if (this.context === undefined)
      throw new Error('the reporter of rows is not started');
    return this.context;
  }
}
