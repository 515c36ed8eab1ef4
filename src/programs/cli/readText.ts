import * as fs from 'node:fs';
import * as consumers from 'node:stream/consumers';

/** Reads a file as UTF-8 text; the name "-" stands for standard input. @throws Error when the file can't be read. */
export async function readText(file: string): Promise<string> {
  if (file === '-') return await consumers.text(process.stdin);
  return fs.readFileSync(file, 'utf8');
}
