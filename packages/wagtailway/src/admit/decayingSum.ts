/** Exponentially decaying sums. */
import type { Clock } from '../clock.js'

/**
 * Sum whose amounts decay exponentially with a time constant.
 *
 * @example
 * const served = DecayingSum.create(clock, 20_000)
 * served.add(1)
 */
export class DecayingSum {
  #value = 0
  #updatedAtMs: number

  private constructor(
    private readonly clock: Clock,
    private readonly timeConstantMs: number,
  ) {
    this.#updatedAtMs = clock()
  }

  /** @param timeConstantMs Time in which an amount falls to 1/e, in milliseconds. */
  static create(clock: Clock, timeConstantMs: number): DecayingSum {
    return new DecayingSum(clock, timeConstantMs)
  }

  get value(): number {
    const ageMs = this.clock() - this.#updatedAtMs
    return this.#value * Math.exp(-ageMs / this.timeConstantMs)
  }

  add(amount: number): void {
    this.set(this.value + amount)
  }

  set(value: number): void {
    this.#value = value
    this.#updatedAtMs = this.clock()
  }
}
