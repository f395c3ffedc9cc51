/** Recent latencies of a pool, from which it estimates queueing delays at the replicas. */
import type { Clock } from '../clock.js'
import { DecayingAverage } from './decayingAverage.js'
import { RecentMinimum } from './recentMinimum.js'

/**
 * Time span of the minimum latency, in milliseconds; the minimum is taken as the latency of
 * an idle replica.
 */
const MINIMUM_SPAN_MS = 30_000

/** Fraction of the first-token target that queueing at the replica may use. */
const QUEUE_DELAY_FRACTION = 0.15

/** Weight of a new value in the mean times. */
const AVERAGE_WEIGHT = 0.05

/**
 * Latency statistics of one pool.
 *
 * @example
 * const times = PoolTimes.create(clock)
 * times.recordFirstToken(80, 1_000) // queueing delay at the replica divided by its goal
 */
export class PoolTimes {
  readonly #holdMs = DecayingAverage.create(AVERAGE_WEIGHT)
  readonly #firstTokenMs = DecayingAverage.create(AVERAGE_WEIGHT)
  readonly #minFirstTokenMs: RecentMinimum
  /** Minimum time per token of responses that were not streamed, in milliseconds. */
  readonly #minPerTokenMs: RecentMinimum
  readonly #minTargetMs: RecentMinimum

  private constructor(clock: Clock) {
    this.#minFirstTokenMs = RecentMinimum.create(clock, MINIMUM_SPAN_MS)
    this.#minPerTokenMs = RecentMinimum.create(clock, MINIMUM_SPAN_MS)
    this.#minTargetMs = RecentMinimum.create(clock, MINIMUM_SPAN_MS)
  }

  static create(clock: Clock): PoolTimes {
    return new PoolTimes(clock)
  }

  /** Mean time for which a request holds its slot, in milliseconds. */
  get meanHoldMs(): number {
    return this.#holdMs.value ?? 0
  }

  /** Mean time to the first token, in milliseconds. */
  get meanFirstTokenMs(): number {
    return this.#firstTokenMs.value ?? 0
  }

  /** Records for how long a request held its slot. */
  recordHold(ms: number): void {
    this.#holdMs.add(ms)
  }

  /**
   * Records a time to first token; returns the queueing delay at the replica divided by
   * its goal.
   */
  recordFirstToken(ms: number, targetMs: number): number {
    this.#firstTokenMs.add(ms)
    this.#minFirstTokenMs.add(ms)
    return this.#pressureOf(ms - this.#minFirstTokenMs.value, targetMs)
  }

  /**
   * Same as `recordFirstToken`, for the total time of a response of `tokens` that was not
   * streamed.
   */
  recordFullResponse(ms: number, tokens: number, targetMs: number): number {
    this.#minPerTokenMs.add(ms / (tokens + 1))
    return this.#pressureOf(ms - this.#minPerTokenMs.value * (tokens + 1), targetMs)
  }

  #pressureOf(delayMs: number, targetMs: number): number {
    // The replica's queue delays all classes, so the strictest target sets the goal.
    this.#minTargetMs.add(targetMs)
    return delayMs / (this.#minTargetMs.value * QUEUE_DELAY_FRACTION)
  }
}
