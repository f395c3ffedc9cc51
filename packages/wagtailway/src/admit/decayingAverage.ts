/** Averages that give older values less weight. */

/**
 * Exponentially weighted moving average.
 *
 * @example
 * const average = DecayingAverage.create(0.1)
 * average.add(120)
 * average.value // 120
 */
export class DecayingAverage {
  #value: number | undefined

  private constructor(private readonly weight: number) {}

  /** @param weight Weight of a new value, in (0, 1]. */
  static create(weight: number): DecayingAverage {
    return new DecayingAverage(weight)
  }

  /** `undefined` until the first value. */
  get value(): number | undefined {
    return this.#value
  }

  add(value: number): void {
    const old = this.#value
    this.#value = old === undefined ? value : old + this.weight * (value - old)
  }
}
