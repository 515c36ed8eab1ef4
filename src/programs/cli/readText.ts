import * as fs from 'node:fs';
import * as consumers from 'node:stream/consumers';

/** Reads a file, or standard input for "-". */
export async function readText(file: string): Promise<string> {
  if (file === '-') return await consumers.text(process.stdin);
  return fs.readFileSync(file, 'utf8');
}
