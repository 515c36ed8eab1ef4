import * as errors from '../../model/errors/index.js';
import * as base from '../base/index.js';
import type * as messages from './LoadMessage.js';

/** How often in milliseconds the delay of the event loop is measured. */
const TICK_MS = 250;

/** The delay in milliseconds from which it is logged: it takes callers' time that nobody counts. */
const LOGGED_DELAY_MS = 100;

/** Measures how far the process is behind: how late its timers fire. */
export class LoadTask extends base.ServiceTask<messages.LoadMessage> {
  private dueAtMs = 0;

  protected override async onStart(): Promise<void> {
    this.dueAtMs = this.nowMs() + TICK_MS;
    this.postEvery(TICK_MS, {kind: 'tick'});
  }

  protected override receive(message: messages.LoadMessage): void {
    switch (message.kind) {
      case 'tick':
        this.measure();
        return;
      default:
        errors.throwUnreachable(message.kind);
    }
  }

  private measure(): void {
    const nowMs = this.nowMs();
    const delayMs = Math.max(0, nowMs - this.dueAtMs);
    this.dueAtMs = nowMs + TICK_MS;
    this.observe('loop_delay_ms', delayMs);
    if (delayMs >= LOGGED_DELAY_MS)
      this.log('warn', 'loopDelayed', {delayMs: Math.round(delayMs)});
  }
}
