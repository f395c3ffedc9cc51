/** CPU time of a process, read from the kernel's counters. */
import { readFile } from 'node:fs/promises'

/** Resolution of the kernel's counters, in ticks per second (USER_HZ). */
const TICKS_PER_SECOND = 100

const MS_PER_SECOND = 1_000

/**
 * Returns the user and system time that a process has used so far, in milliseconds.
 *
 * @example
 * const usedMs = (await cpuTimeMs(pid)) - beforeMs
 */
export async function cpuTimeMs(pid: number): Promise<number> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8')
  // The process name in parentheses may contain spaces; the fields after it start with
  // field 3.
  // Fields 14 and 15 are the user and system time.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const ticks = Number(fields[11]) + Number(fields[12])
  return (ticks * MS_PER_SECOND) / TICKS_PER_SECOND
}
