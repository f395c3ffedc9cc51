/** Reads from `/proc` what a process holds. */
import { readFile, readdir, writeFile } from 'node:fs/promises'

const KB_PER_MB = 1_024

/** Value that resets the peak of the resident memory; see proc(5). */
const RESET_PEAK = '5'

/**
 * Largest resident memory of a process since `resetPeak`, in megabytes. Rejects if it has ended.
 *
 * @example
 * await peakMb(pid) // 96.4
 */
export async function peakMb(pid: number): Promise<number> {
  const status = await readFile(`/proc/${pid}/status`, 'utf8')
  return Number(/VmHWM:\s+(\d+)/.exec(status)?.[1]) / KB_PER_MB
}

/** Starts a new measurement of `peakMb`. */
export async function resetPeak(pid: number): Promise<void> {
  await writeFile(`/proc/${pid}/clear_refs`, RESET_PEAK)
}

/** Number of descriptors that a process has open. Rejects if it has ended. */
export async function openDescriptors(pid: number): Promise<number> {
  return (await readdir(`/proc/${pid}/fd`)).length
}
