/** The least of recent values. */
import type { Clock } from '../clock.js'

/**
 * Least value within the last one to two spans of time.
 *
 * @example
 * const floor = LeastLately.create(clock, 30_000)
 * floor.add(52)
 * floor.value // 52
 */
export class LeastLately {
  #previous = Infinity
  #current = Infinity
  #spanStartMs: number

  private constructor(
    private readonly clock: Clock,
    private readonly spanMs: number,
  ) {
    this.#spanStartMs = clock()
  }

  static create(clock: Clock, spanMs: number): LeastLately {
    return new LeastLately(clock, spanMs)
  }

  /** Infinity before the first value. */
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
