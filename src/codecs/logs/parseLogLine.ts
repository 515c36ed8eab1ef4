/** The key=value pairs of a log line. */
export type LogLine = ReadonlyMap<string, string>;

const PAIR_PATTERN = /([A-Za-z][\w.]*)=("(?:[^"\\]|\\.)*"|\S*)/g;

/** Parses a log line of key=value pairs; text before the first pair is ignored. */
export function parseLogLine(line: string): LogLine {
  const pairs = new Map<string, string>();
  for (const [, name, value] of line.matchAll(PAIR_PATTERN))
    pairs.set(name, value.startsWith('"') ? unquote(value) : value);
  return pairs;
}

function unquote(value: string): string {
  return value.slice(1, -1).replaceAll(/\\(.)/g, '$1');
}
