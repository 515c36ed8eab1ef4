import type * as stream from 'node:stream';
import * as pino from 'pino';
import * as pinoLogfmt from 'pino-logfmt';
import * as kernel from '../../kernel/index.js';
import * as errors from '../../model/errors/index.js';
import type * as events from './EventName.js';
import * as limiters from './LineRateLimiter.js';
import type * as messages from './LogMessage.js';

/** Builds the stream that formats log records as lines of key=value pairs. */
type BuildLogfmtStream = (
  options: pinoLogfmt.LogFmtTransportOptions,
) => Promise<stream.Transform>;

/** Writes each event as one line of key=value pairs. */
export class LogTask extends kernel.Task<messages.LogMessage> {
  private readonly level: messages.LogMessage['level'];
  private readonly vmId: string;
  private readonly fileDescriptor: number;
  private readonly lineRateLimiter = new limiters.LineRateLimiter();
  private logger: pino.Logger | undefined;
  private output: stream.Transform | undefined;

  /**
   * @param level The minimum level of the events that are written.
   * @param vmId The value of the vm field of each line.
   * @param fileDescriptor The file that the lines are written to; standard error by default.
   */
  constructor(
    level: messages.LogMessage['level'],
    vmId: string,
    fileDescriptor: number = process.stderr.fd,
  ) {
    super();
    this.fileDescriptor = fileDescriptor;
    this.level = level;
    this.vmId = vmId;
  }

  protected override async onStart(): Promise<void> {
    const {default: buildStream} = pinoLogfmt as unknown as {
      readonly default: BuildLogfmtStream;
    };
    this.output = await buildStream({
      includeLevelLabel: true,
      levelLabelKey: 'level',
      formatTime: true,
      timeKey: 'time',
      timeFormat: "yyyy-mm-dd'T'HH:MM:ss.l",
      destination: this.fileDescriptor,
      sync: true,
    });
    const options = {level: this.level, base: {vm: this.vmId}};
    this.logger = pino.pino(options, this.output);
  }

  protected override async onStop(): Promise<void> {
    this.output?.end();
    if (this.output !== undefined) await waitForClose(this.output);
  }

  protected override receive(message: messages.LogMessage): void {
    const {level, name, fields} = message;
    if (!this.logger?.isLevelEnabled(level)) return;
    const decision = this.lineRateLimiter.decide(
      name,
      this.getContext().clock.monotonicMs(),
    );
    switch (decision.kind) {
      case 'drop':
        return;
      case 'writeAfterDrops':
        this.logger.warn({
          event: 'linesLeftOut' satisfies events.EventName,
          of: name,
          lines: decision.droppedCount,
        });
        break;
      case 'write':
        break;
      default:
        errors.throwUnreachable(decision);
    }
    const values = typeof fields === 'function' ? fields() : fields;
    this.logger[level]({event: name, ...values});
  }
}

function waitForClose(output: stream.Transform): Promise<void> {
  return new Promise(resolve => {
    output.once('close', resolve);
    if (output.closed) resolve();
  });
}
