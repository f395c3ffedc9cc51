/** Delay of this process's event loop. */
import { DecayingAverage, monotonicClock } from '@wagtailway/core'

const SAMPLE_INTERVAL_MS = 25
const SAMPLE_WEIGHT = 0.3

/**
 * Measures how late timers fire.
 *
 * @example
 * const lag = LoopLag.create()
 * lag.ms
 * lag.close()
 */
export class LoopLag {
  readonly #meanDelayMs = DecayingAverage.create(SAMPLE_WEIGHT)
  readonly #timer: NodeJS.Timeout
  #dueMs = monotonicClock() + SAMPLE_INTERVAL_MS

  private constructor() {
    this.#timer = setInterval(() => {
      const nowMs = monotonicClock()
      this.#meanDelayMs.add(Math.max(0, nowMs - this.#dueMs))
      this.#dueMs = nowMs + SAMPLE_INTERVAL_MS
    }, SAMPLE_INTERVAL_MS)
    this.#timer.unref()
  }

  static create(): LoopLag {
    return new LoopLag()
  }

  /** Moving average of the timer delay, in milliseconds. */
  get ms(): number {
    return this.#meanDelayMs.value ?? 0
  }

  close(): void {
    clearInterval(this.#timer)
  }
}
