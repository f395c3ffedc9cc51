/** Minimum of recent values. */
import type { Clock } from '../clock.js'

/**
 * Minimum over a sliding period of one to two time spans.
 *
 * @example
 * const minimum = RecentMinimum.create(clock, 30_000)
 * minimum.add(52)
 * minimum.value // 52
 */
export class RecentMinimum {
  #previous = Infinity
  #current = Infinity
  #spanStartMs: number

  private constructor(
    private readonly clock: Clock,
    private readonly spanMs: number,
  ) {
    this.#spanStartMs = clock()
  }

  static create(clock: Clock, spanMs: number): RecentMinimum {
    return new RecentMinimum(clock, spanMs)
  }

  /** `Infinity` before the first value. */
  get value(): number {
    return Math.min(this.#previous, this.#current)
  }

  add(value: number): void {
    if (this.clock() - this.#spanStartMs >= this.spanMs) {
      this.#previous = this.#current
      this.#current = Infinity
      this.#spanStartMs = this.clock()
    }
    this.#current = Math.min(this.#current, value)
  }
}
