/** Processor time of a process, as the kernel counts it. */
import { readFile } from 'node:fs/promises'

/** Ticks a second of the kernel's counters. */
const TICKS_PER_SECOND = 100

const MS_PER_SECOND = 1_000

/**
 * User and system time of a process so far, in milliseconds.
 *
 * @example
 * const usedMs = (await cpuTimeMs(pid)) - beforeMs
 */
export async function cpuTimeMs(pid: number): Promise<number> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8')
  // The name in parentheses may hold spaces; the fields after it are counted from 3.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const ticks = Number(fields[11]) + Number(fields[12])
  return (ticks * MS_PER_SECOND) / TICKS_PER_SECOND
}
