import * as fs from 'node:fs';

/** Clock ticks per second in /proc, a constant of Linux's interface to user space. */
const TICKS_PER_SECOND = 100;

const MS_PER_SECOND = 1000;

/** Positions of the user and system time in /proc/PID/stat, counted after the command name. */
const USER_TICKS_FIELD_INDEX = 11;
const SYSTEM_TICKS_FIELD_INDEX = 12;

/** Gets the processor time in milliseconds that a process has used so far. */
export function getProcessCpuMs(pid: number): number {
  const text = fs.readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const ticks =
    Number(fields[USER_TICKS_FIELD_INDEX]) +
    Number(fields[SYSTEM_TICKS_FIELD_INDEX]);
  return (ticks / TICKS_PER_SECOND) * MS_PER_SECOND;
}
