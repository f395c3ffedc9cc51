/** Recent amounts by key, in which older ones count less. */
import type { Clock } from '@wagtailway/core'

/** Part of its highest amount below which a key is dropped. */
const DROP_BELOW = 0.01

/** Interval of looking for keys to drop, in milliseconds. */
const SWEEP_INTERVAL_MS = 1_000

interface DecayingAmount {
  amount: number
  atMs: number
}

/**
 * Sums of amounts that decay exponentially.
 *
 * @example
 * const counts = DecayingCounts.create(clock, 4_000)
 * counts.add('kebele', 1)
 * counts.get('kebele') // 1, and 0.37 after 4 s
 */
export class DecayingCounts {
  readonly #amounts = new Map<string, DecayingAmount>()
  #sweptAtMs = Number.NEGATIVE_INFINITY

  private constructor(
    private readonly clock: Clock,
    private readonly timeConstantMs: number,
  ) {}

  /** @param timeConstantMs Time in which an amount decays to 1/e, in milliseconds. */
  static create(clock: Clock, timeConstantMs: number): DecayingCounts {
    return new DecayingCounts(clock, timeConstantMs)
  }

  add(key: string, amount: number): void {
    const atMs = this.clock()
    this.#sweep(atMs)
    this.#amounts.set(key, { amount: this.get(key) + amount, atMs })
  }

  get(key: string): number {
    const entry = this.#amounts.get(key)
    return entry ? this.#decayed(entry, this.clock()) : 0
  }

  /** Keys with their amounts now; those that have decayed are left out. */
  entries(): [string, number][] {
    const nowMs = this.clock()
    return [...this.#amounts]
      .map(([key, entry]): [string, number] => [key, this.#decayed(entry, nowMs)])
      .filter(([, amount]) => amount >= DROP_BELOW)
  }

  #decayed({ amount, atMs }: DecayingAmount, nowMs: number): number {
    return amount * Math.exp((atMs - nowMs) / this.timeConstantMs)
  }

  /** Drops keys that have decayed, so that memory follows the keys in use. */
  #sweep(nowMs: number): void {
    if (nowMs - this.#sweptAtMs < SWEEP_INTERVAL_MS) return
    this.#sweptAtMs = nowMs
    for (const [key, entry] of this.#amounts)
      if (this.#decayed(entry, nowMs) < DROP_BELOW) this.#amounts.delete(key)
  }
}
