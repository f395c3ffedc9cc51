/** Tells which aggregators of loads have stayed silent, so that others take their place. */
import type { Clock } from '@wagtailway/core'

/** Time for which a silent aggregator is passed over, in milliseconds. */
const PASS_OVER_MS = 6_000

/**
 * Aggregators from which reports are expected.
 *
 * @example
 * const watch = AggregatorWatch.create(clock, 1_200)
 * watch.expect('n1')
 * watch.isPassedOver('n1') // true after 1.2 s without `recordReport('n1')`
 */
export class AggregatorWatch {
  /** Since when a report of each has been awaited. */
  readonly #awaitedSinceMs = new Map<string, number>()
  readonly #passedOverUntilMs = new Map<string, number>()

  private constructor(
    private readonly clock: Clock,
    private readonly silentAfterMs: number,
  ) {}

  /** @param silentAfterMs Time without a report after which an aggregator is silent. */
  static create(clock: Clock, silentAfterMs: number): AggregatorWatch {
    return new AggregatorWatch(clock, silentAfterMs)
  }

  /** Records that an aggregator should report from now on. */
  expect(name: string): void {
    if (!this.#awaitedSinceMs.has(name)) this.#awaitedSinceMs.set(name, this.clock())
  }

  /** Records that nothing is expected of all others. */
  retain(names: ReadonlySet<string>): void {
    for (const name of this.#awaitedSinceMs.keys())
      if (!names.has(name)) this.#awaitedSinceMs.delete(name)
  }

  recordReport(name: string): void {
    this.#passedOverUntilMs.delete(name)
    if (this.#awaitedSinceMs.has(name)) this.#awaitedSinceMs.set(name, this.clock())
  }

  /** Whether half of the time has passed after which an aggregator is silent. */
  isLate(name: string): boolean {
    const sinceMs = this.#awaitedSinceMs.get(name)
    return sinceMs !== undefined && this.clock() - sinceMs >= this.silentAfterMs / 2
  }

  /** Whether an aggregator has stayed silent and is not to be asked for a while. */
  isPassedOver(name: string): boolean {
    const nowMs = this.clock()
    const sinceMs = this.#awaitedSinceMs.get(name)
    if (sinceMs !== undefined && nowMs - sinceMs >= this.silentAfterMs) {
      this.#awaitedSinceMs.delete(name)
      this.#passedOverUntilMs.set(name, nowMs + PASS_OVER_MS)
    }
    const untilMs = this.#passedOverUntilMs.get(name)
    if (untilMs === undefined) return false
    if (nowMs < untilMs) return true
    this.#passedOverUntilMs.delete(name)
    return false
  }
}
