import * as fs from 'node:fs';

/** Clock ticks a second in /proc, fixed by Linux's interface to user space. */
const TICKS_PER_SECOND = 100;

const MS_PER_SECOND = 1000;
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;

/** Gets the processor time in milliseconds that a process has spent. */
export function getProcessCpuMs(pid: number): number {
  const text = fs.readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD]);
  return (ticks / TICKS_PER_SECOND) * MS_PER_SECOND;
}
