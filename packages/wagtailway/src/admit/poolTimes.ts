/** Times that a pool has measured lately, and what they say about queues at replicas. */
import type { Clock } from '../clock.js'
import { DecayingAverage } from './decayingAverage.js'
import { LeastLately } from './recentMinimum.js'

/** Time over which the least latency counts as that of an idle replica, in milliseconds. */
const LEAST_SPAN_MS = 30_000

/** Part of the target of the first token that waiting at the replica may use. */
const GOAL_FRACTION = 0.15

const AVERAGE_WEIGHT = 0.05

/**
 * Times of one pool.
 *
 * @example
 * const times = PoolTimes.create(clock)
 * times.firstToken(80, 1_000) // part of the goal that was spent in the replica's queue
 */
export class PoolTimes {
  readonly #holdMs = DecayingAverage.create(AVERAGE_WEIGHT)
  readonly #firstTokenMs = DecayingAverage.create(AVERAGE_WEIGHT)
  readonly #leastFirstTokenMs: LeastLately
  /** Least time by token of answers that came in one piece, in milliseconds. */
  readonly #leastPerTokenMs: LeastLately
  readonly #leastTargetMs: LeastLately

  private constructor(clock: Clock) {
    this.#leastFirstTokenMs = LeastLately.create(clock, LEAST_SPAN_MS)
    this.#leastPerTokenMs = LeastLately.create(clock, LEAST_SPAN_MS)
    this.#leastTargetMs = LeastLately.create(clock, LEAST_SPAN_MS)
  }

  static create(clock: Clock): PoolTimes {
    return new PoolTimes(clock)
  }

  /** Mean time that a request holds its place, in milliseconds. */
  get meanHoldMs(): number {
    return this.#holdMs.value ?? 0
  }

  /** Mean time to the first token, in milliseconds. */
  get meanFirstTokenMs(): number {
    return this.#firstTokenMs.value ?? 0
  }

  /** Notes how long a request held its place. */
  held(ms: number): void {
    this.#holdMs.add(ms)
  }

  /** Takes in a time to a first token; returns the replica's delay divided by its goal. */
  firstToken(ms: number, targetMs: number): number {
    this.#firstTokenMs.add(ms)
    this.#leastFirstTokenMs.add(ms)
    return this.#pressure(ms - this.#leastFirstTokenMs.value, targetMs)
  }

  /** The same for an answer of so many tokens that came in one piece. */
  whole(ms: number, tokens: number, targetMs: number): number {
    this.#leastPerTokenMs.add(ms / (tokens + 1))
    return this.#pressure(ms - this.#leastPerTokenMs.value * (tokens + 1), targetMs)
  }

  #pressure(delayMs: number, targetMs: number): number {
    // The replica's queue delays all classes, so the most demanding one sets the goal.
    this.#leastTargetMs.add(targetMs)
    return delayMs / (this.#leastTargetMs.value * GOAL_FRACTION)
  }
}
