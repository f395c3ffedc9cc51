/**
 * Open-loop load: requests start at their intended times, whether or not earlier ones
 * have ended.
 */
import type { Random } from '@wagtailway/core'

export interface OpenLoopOptions {
  readonly count: number
  /** Mean rate in requests per second; the intervals are exponentially distributed. */
  readonly ratePerSecond: number
  readonly random: Random
  /**
   * Sends request `index`; `dueMs` is its intended start, from which latency is measured.
   */
  readonly send: (index: number, dueMs: number) => Promise<void>
}

const MS_PER_SECOND = 1_000

/**
 * Starts `count` requests and waits until all have ended.
 *
 * @example
 * await openLoop({ count: 100, ratePerSecond: 50, random, send })
 */
export async function openLoop(opts: OpenLoopOptions): Promise<void> {
  const running: Promise<void>[] = []
  let dueMs = performance.now()
  for (let i = 0; i < opts.count; i++) {
    dueMs += (-Math.log(1 - opts.random()) / opts.ratePerSecond) * MS_PER_SECOND
    const waitMs = dueMs - performance.now()
    if (waitMs > 1) await new Promise((resolve) => setTimeout(resolve, waitMs))
    running.push(opts.send(i, dueMs))
  }
  await Promise.all(running)
}
