import * as oclif from '@oclif/core';
import * as codecs from '../../../codecs/index.js';
import * as errors from '../../../model/errors/index.js';
import * as reader from '../readText.js';

/** One line of a request's story. */
export interface TraceLine {
  readonly time: string;
  readonly vm: string;
  readonly event: string;
  readonly details: string;
}

/** Events that change what a VM believes; the newest before a request's line helps to explain it. */
const BELIEFS: ReadonlySet<string> = new Set([
  'configurationApplied',
  'storeLost',
  'storeRegained',
  'upstreamAvoided',
  'upstreamChanged',
  'upstreamRemoved',
  'daemonStarted',
  'daemonStopping',
]);

/** Fields that every line has, or that the story shows elsewhere. */
const COMMON_FIELDS: ReadonlySet<string> = new Set([
  'level',
  'time',
  'vm',
  'event',
  'request',
]);

/** How many lines on what the VM believed are shown before the request's first line. */
const MAX_BELIEFS = 5;

/** Tells a request's story from the log files of one or several VMs. */
export class Trace extends oclif.Command {
  static override summary =
    "Tells a request's story from the log files of one or several VMs.";
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
    const texts = await Promise.all(flags.log.map(reader.readText));
    const lines = texts.flatMap(text =>
      text.split('\n').map(codecs.parseLogLine),
    );
    const story = getStory(lines, args.request);
    if (story.length === 0)
      errors.throwError('notFound', `no line names request ${args.request}`);
    for (const line of story)
      this.log(`${line.time} ${line.vm} ${line.event} ${line.details}`);
    return story;
  }
}

function getStory(
  lines: readonly codecs.LogLine[],
  requestId: string,
): readonly TraceLine[] {
  const own = lines.filter(line => line.get('request') === requestId);
  const [first] = sortByTime(own);
  if (first === undefined) return [];
  const vm = first.get('vm');
  const time = first.get('time') ?? '';
  const believed = lines.filter(
    line =>
      line.get('vm') === vm &&
      BELIEFS.has(line.get('event') ?? '') &&
      (line.get('time') ?? '') <= time,
  );
  const before = sortByTime(believed).slice(-MAX_BELIEFS);
  return [...before, ...sortByTime(own)].map(toTraceLine);
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
