/** Sums in which older amounts count less. */
import type { Clock } from '../clock.js'

/**
 * A sum whose amounts fade with a time constant.
 *
 * @example
 * const served = DecayingSum.create(clock, 20_000)
 * served.add(1)
 */
export class DecayingSum {
  #value = 0
  #atMs: number

  private constructor(
    private readonly clock: Clock,
    private readonly constantMs: number,
  ) {
    this.#atMs = clock()
  }

  /** @param constantMs Time in which an amount falls to 1/e, in milliseconds. */
  static create(clock: Clock, constantMs: number): DecayingSum {
    return new DecayingSum(clock, constantMs)
  }

  get value(): number {
    const ageMs = this.clock() - this.#atMs
    return this.#value * Math.exp(-ageMs / this.constantMs)
  }

  add(amount: number): void {
    this.set(this.value + amount)
  }

  set(value: number): void {
    this.#value = value
    this.#atMs = this.clock()
  }
}
