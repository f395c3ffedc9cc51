/** Delay of this process's event loop. */
import { DecayingAverage, monotonicClock } from '@wagtailway/core'

const INTERVAL_MS = 25
const WEIGHT = 0.3

/**
 * Measures how late timers fire.
 *
 * @example
 * const lag = LoopLag.create()
 * lag.ms
 * lag.close()
 */
export class LoopLag {
  readonly #late = DecayingAverage.create(WEIGHT)
  readonly #timer: NodeJS.Timeout
  #dueMs = monotonicClock() + INTERVAL_MS

  private constructor() {
    this.#timer = setInterval(() => {
      const nowMs = monotonicClock()
      this.#late.add(Math.max(0, nowMs - this.#dueMs))
      this.#dueMs = nowMs + INTERVAL_MS
    }, INTERVAL_MS)
    this.#timer.unref()
  }

  static create(): LoopLag {
    return new LoopLag()
  }

  /** Mean delay of late, in milliseconds. */
  get ms(): number {
    return this.#late.value ?? 0
  }

  close(): void {
    clearInterval(this.#timer)
  }
}
