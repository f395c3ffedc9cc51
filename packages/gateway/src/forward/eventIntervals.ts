/** Intervals between the events of one stream, a measure of inter-token latency. */

/**
 * Maximum intervals stored per stream; further ones tell nothing new about its server.
 */
const MAX_INTERVALS = 256

/**
 * Divides the sorted intervals to find the 10th percentile. The minimum would be too low:
 * it is close to zero when two events arrive together.
 */
const PERCENTILE_DIVISOR = 10

/** Minimum intervals of a stream for its server's speed to be estimated. */
const MIN_INTERVALS = 3

/**
 * Records when events arrive.
 *
 * @example
 * const intervals = EventIntervals.create()
 * intervals.note(1_000)
 * intervals.note(1_020)
 * intervals.meanMs // 20
 */
export class EventIntervals {
  readonly #intervalsMs: number[] = []
  #firstAtMs = 0
  #lastAtMs = 0
  #eventCount = 0

  static create(): EventIntervals {
    return new EventIntervals()
  }

  /** Records an event that arrived at this time on the monotonic clock. */
  recordEvent(atMs: number): void {
    if (this.#eventCount === 0) this.#firstAtMs = atMs
    else if (this.#intervalsMs.length < MAX_INTERVALS)
      this.#intervalsMs.push(atMs - this.#lastAtMs)
    this.#lastAtMs = atMs
    this.#eventCount += 1
  }

  /** Number of recorded events. */
  get count(): number {
    return this.#eventCount
  }

  /** When the first event arrived, on the monotonic clock. */
  get firstAtMs(): number {
    return this.#firstAtMs
  }

  /** Time from the first event to the last one, in milliseconds. */
  get spanMs(): number {
    return this.#lastAtMs - this.#firstAtMs
  }

  /** Mean interval in milliseconds, `undefined` before the second event. */
  get meanMs(): number | undefined {
    if (this.#eventCount < 2) return undefined
    return this.spanMs / (this.#eventCount - 1)
  }

  /**
   * 10th percentile of the intervals, in milliseconds: the decode time of one event while
   * the server prefills no other prompt. `undefined` if there are fewer than
   * `MIN_INTERVALS`.
   */
  get p10Ms(): number | undefined {
    if (this.#intervalsMs.length < MIN_INTERVALS) return undefined
    const sorted = this.#intervalsMs.toSorted((a, b) => a - b)
    return sorted[Math.floor(sorted.length / PERCENTILE_DIVISOR)]
  }
}
