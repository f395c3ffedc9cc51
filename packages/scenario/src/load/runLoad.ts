/** Sends chat completions in an open loop and sums up what came back. */
import { build, type Histogram } from 'hdr-histogram-js'
import type { Random } from '@wagtailway/core'
import { ChatCaller, type ChatCall, type ChatResult } from './chatCaller.js'
import { openLoop } from './openLoop.js'

const MICROS_PER_MS = 1_000

/** Longest time that the histograms can hold, in microseconds. */
const LONGEST_MICROS = 600_000_000

/** Times of requests in microseconds, counted from the intended start of each. */
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

  /** Adds a result; `dueMs` was its intended start, `endMs` the end of its answer. */
  add(result: ChatResult, dueMs: number, endMs: number): void {
    this.sent += 1
    if (result.status !== 200) {
      const count = this.refusals.get(result.refusal) ?? 0
      this.refusals.set(result.refusal, count + 1)
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
  /** The request to send as number `index`, and the name under which it is counted. */
  readonly callOf: (index: number) => { readonly name: string; readonly call: ChatCall }
}

/**
 * Starts each request at its time, however late the answers are, so that a slow answer
 * can't hide the wait of those behind it.
 *
 * @example
 * const stats = await runLoad({ count: 100, ratePerSecond: 50, random, callOf })
 * stats.get('router')?.total.getValueAtPercentile(99)
 */
export async function runLoad(opts: LoadOptions): Promise<Map<string, LoadStats>> {
  const caller = ChatCaller.create()
  const stats = new Map<string, LoadStats>()
  await openLoop({
    ...opts,
    send: async (index, dueMs) => {
      const { name, call } = opts.callOf(index)
      const result = await caller.send(call)
      const own = stats.get(name) ?? LoadStats.create()
      stats.set(name, own)
      own.add(result, dueMs, performance.now())
    },
  })
  caller.close()
  return stats
}

function newHistogram(): Histogram {
  return build({
    highestTrackableValue: LONGEST_MICROS,
    numberOfSignificantValueDigits: 3,
  })
}

function toMicros(ms: number): number {
  return Math.min(LONGEST_MICROS, Math.max(1, Math.round(ms * MICROS_PER_MS)))
}
