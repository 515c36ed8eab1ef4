import * as oclif from '@oclif/core';
import * as codecs from '../../../codecs/index.js';
import * as errors from '../../../model/errors/index.js';
import * as textFiles from '../readText.js';

/** One log line of a request's timeline. */
export interface TraceLine {
  readonly time: string;
  readonly vm: string;
  readonly event: string;
  readonly details: string;
}

/** Events that change the state by which a VM decides on requests: the last ones help to explain its answers. */
const STATE_EVENTS: ReadonlySet<string> = new Set([
  'configurationApplied',
  'storeLost',
  'storeRegained',
  'upstreamAvoided',
  'upstreamChanged',
  'upstreamRemoved',
  'daemonStarted',
  'daemonStopping',
]);

/** Fields left out of a line's details: the timeline shows them in columns, or they are the same for every line. */
const COMMON_FIELDS: ReadonlySet<string> = new Set([
  'level',
  'time',
  'vm',
  'event',
  'request',
]);

/** The largest number of state events shown before the request's first line. */
const MAX_STATE_EVENTS = 5;

/** Shows the timeline of a request from the log files of one or several VMs. */
export class Trace extends oclif.Command {
  static override summary =
    'Shows the timeline of a request from the log files of one or several VMs.';
  static override examples = [
    '<%= config.bin %> trace 9c41d07be2a35f68 --log vm-1.log --log vm-2.log',
  ];
  static override enableJsonFlag = true;
  static override args = {
    request: oclif.Args.string({required: true}),
  };
  static override flags = {
    log: oclif.Flags.string({
      multiple: true,
      required: true,
      summary: 'a log file; - for standard input',
    }),
  };

  /** Runs the command. */
  async run(): Promise<readonly TraceLine[]> {
    const {args, flags} = await this.parse(Trace);
    const texts = await Promise.all(flags.log.map(textFiles.readText));
    const lines = texts.flatMap(text =>
      text.split('\n').map(codecs.parseLogLine),
    );
    const timeline = getTimeline(lines, args.request);
    if (timeline.length === 0)
      errors.throwError('notFound', `no line names request ${args.request}`);
    for (const line of timeline)
      this.log(`${line.time} ${line.vm} ${line.event} ${line.details}`);
    return timeline;
  }
}

/** Returns a request's log lines by time, after the last state events of the VM that logged the first of them. */
function getTimeline(
  lines: readonly codecs.LogLine[],
  requestId: string,
): readonly TraceLine[] {
  const requestLines = lines.filter(line => line.get('request') === requestId);
  const [firstLine] = sortByTime(requestLines);
  if (firstLine === undefined) return [];
  const vm = firstLine.get('vm');
  const time = firstLine.get('time') ?? '';
  const stateLines = lines.filter(
    line =>
      line.get('vm') === vm &&
      STATE_EVENTS.has(line.get('event') ?? '') &&
      (line.get('time') ?? '') <= time,
  );
  const lastStateLines = sortByTime(stateLines).slice(-MAX_STATE_EVENTS);
  return [...lastStateLines, ...sortByTime(requestLines)].map(toTraceLine);
}

function sortByTime(
  lines: readonly codecs.LogLine[],
): readonly codecs.LogLine[] {
  return [...lines].sort((a, b) =>
    (a.get('time') ?? '').localeCompare(b.get('time') ?? ''),
  );
}

function toTraceLine(line: codecs.LogLine): TraceLine {
  const details = [...line]
    .filter(([name]) => !COMMON_FIELDS.has(name))
    .map(([name, value]) => `${name}=${value}`);
  return {
    time: line.get('time') ?? '',
    vm: line.get('vm') ?? '',
    event: line.get('event') ?? '',
    details: details.join(' '),
  };
}
