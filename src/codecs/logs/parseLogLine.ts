/** A log line as its pairs. */
export type LogLine = ReadonlyMap<string, string>;

const PAIR = /([A-Za-z][\w.]*)=("(?:[^"\\]|\\.)*"|\S*)/g;

/** Gets the pairs of a line of key=value pairs; text before the first pair is ignored. */
export function parseLogLine(line: string): LogLine {
  const pairs = new Map<string, string>();
  for (const [, name, value] of line.matchAll(PAIR))
    pairs.set(name, value.startsWith('"') ? unquote(value) : value);
  return pairs;
}

function unquote(value: string): string {
  return value.slice(1, -1).replaceAll(/\\(.)/g, '$1');
}
