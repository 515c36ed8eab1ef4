import * as errors from '../../model/errors/index.js';
import * as base from '../base/index.js';
import * as delays from './LoopDelay.js';
import type * as messages from './LoadMessage.js';

/** The delay in milliseconds from which it is logged: it takes callers' time that nobody counts. */
const LOGGED_DELAY_MS = 100;

/** Measures how far the process is behind: how late its timers fire. */
export class LoadTask extends base.ServiceTask<messages.LoadMessage> {
  private delay: delays.LoopDelay | undefined;

  protected override async onStart(): Promise<void> {
    this.delay = new delays.LoopDelay(this.nowMs());
    this.postEvery(delays.LOOP_TICK_MS, {kind: 'tick'});
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
    const delayMs = this.delay?.noteTick(this.nowMs()) ?? 0;
    this.observe('loop_delay_ms', delayMs);
    if (delayMs >= LOGGED_DELAY_MS)
      this.log('warn', 'loopDelayed', {delayMs: Math.round(delayMs)});
  }
}
