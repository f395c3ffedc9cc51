/** Sends chat requests in an open loop and aggregates the results. */
import { build, type Histogram } from 'hdr-histogram-js'
import type { Random } from '@wagtailway/core'
import { ChatCaller, type ChatCall, type ChatResult } from './chatCaller.js'
import { openLoop } from './openLoop.js'

const MICROS_PER_MS = 1_000

/**
 * Maximum value of the histograms, in microseconds; longer times are recorded as this.
 */
const MAX_TRACKABLE_MICROS = 600_000_000

/**
 * Result counts and latencies; latencies are in microseconds from each request's intended
 * start.
 */
export class LoadStats {
  readonly firstToken: Histogram = newHistogram()
  readonly total: Histogram = newHistogram()
  readonly refusals = new Map<string, number>()
  sent = 0
  answered = 0
  wrong = 0

  static create(): LoadStats {
    return new LoadStats()
  }

  /**
   * Adds a result; `dueMs` is the request's intended start, `endMs` the end of its
   * response.
   */
  add(result: ChatResult, dueMs: number, endMs: number): void {
    this.sent += 1
    if (result.status !== 200) {
      const previousCount = this.refusals.get(result.refusal) ?? 0
      this.refusals.set(result.refusal, previousCount + 1)
      return
    }
    if (!result.whole) {
      this.wrong += 1
      return
    }
    this.answered += 1
    this.total.recordValue(toMicros(endMs - dueMs))
    this.firstToken.recordValue(toMicros(result.firstTokenAtMs - dueMs))
  }

  get refused(): number {
    return [...this.refusals.values()].reduce((sum, count) => sum + count, 0)
  }
}

export interface LoadOptions {
  readonly count: number
  readonly ratePerSecond: number
  readonly random: Random
  /** Returns the request with number `index` and the name under which it is counted. */
  readonly callFor: (index: number) => { readonly name: string; readonly call: ChatCall }
}

/**
 * Starts each request at its intended time, however late earlier responses are, so that
 * a slow response can't hide the delay of the requests after it (coordinated omission).
 *
 * @example
 * const stats = await runLoad({ count: 100, ratePerSecond: 50, random, callFor })
 * stats.get('router')?.total.getValueAtPercentile(99)
 */
export async function runLoad(opts: LoadOptions): Promise<Map<string, LoadStats>> {
  const caller = ChatCaller.create()
  const stats = new Map<string, LoadStats>()
  await openLoop({
    ...opts,
    send: async (index, dueMs) => {
      const { name, call } = opts.callFor(index)
      const result = await caller.send(call)
      const loadStats = stats.get(name) ?? LoadStats.create()
      stats.set(name, loadStats)
      loadStats.add(result, dueMs, performance.now())
    },
  })
  caller.close()
  return stats
}

function newHistogram(): Histogram {
  return build({
    highestTrackableValue: MAX_TRACKABLE_MICROS,
    numberOfSignificantValueDigits: 3,
  })
}

function toMicros(ms: number): number {
  return Math.min(MAX_TRACKABLE_MICROS, Math.max(1, Math.round(ms * MICROS_PER_MS)))
}
