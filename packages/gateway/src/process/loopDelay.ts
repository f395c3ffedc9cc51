/** Measures how late the event loop of this process runs its timers. */

/** Interval of the measurement, in milliseconds. */
const INTERVAL_MS = 100

/** Weight of the latest measurement in the mean. */
const LATEST_WEIGHT = 0.3

/**
 * Recent delay of the event loop.
 *
 * @example
 * const loopDelay = LoopDelay.create()
 * loopDelay.recentMs // 2
 * loopDelay.close()
 */
export class LoopDelay {
  #recentMs = 0
  #dueAtMs = performance.now() + INTERVAL_MS
  readonly #timer: NodeJS.Timeout

  private constructor(onMeasured: (recentMs: number, latestMs: number) => void) {
    this.#timer = setInterval(() => {
      const delayMs = Math.max(0, performance.now() - this.#dueAtMs)
      this.#dueAtMs = performance.now() + INTERVAL_MS
      this.#recentMs += (delayMs - this.#recentMs) * LATEST_WEIGHT
      onMeasured(this.#recentMs, delayMs)
    }, INTERVAL_MS)
  }

  /** @param onMeasured Receives the moving average and the latest delay, in milliseconds. */
  static create(
    onMeasured: (recentMs: number, latestMs: number) => void = () => undefined,
  ): LoopDelay {
    return new LoopDelay(onMeasured)
  }

  /** Moving average of the delay, in milliseconds. */
  get recentMs(): number {
    return this.#recentMs
  }

  close(): void {
    clearInterval(this.#timer)
  }
}
