/**
 * Detects pauses of this process, so that it doesn't act on information from before
 * a pause.
 */
import type { Clock } from '../clock.js'

export interface PauseGuardOptions {
  /** Monotonic clock that keeps running during a pause. */
  readonly clock: Clock
  /**
   * Gap between two ticks beyond which the process counts as paused, in milliseconds.
   * @default 3_000
   */
  readonly maxGapMs?: number
}

/**
 * Ticked regularly; checks whether information is more recent than the last pause.
 *
 * @example
 * const guard = PauseGuard.create({ clock: monotonicClock })
 * guard.tick()
 * guard.isCurrent(instances.ageMs)
 */
export class PauseGuard {
  readonly #clock: Clock
  readonly #maxGapMs: number
  #tickedAtMs: number
  #resumedAtMs = Number.NEGATIVE_INFINITY

  private constructor(opts: PauseGuardOptions) {
    this.#clock = opts.clock
    this.#maxGapMs = opts.maxGapMs ?? 3_000
    this.#tickedAtMs = opts.clock()
  }

  static create(opts: PauseGuardOptions): PauseGuard {
    return new PauseGuard(opts)
  }

  /** Records that the process is running. */
  tick(): void {
    const nowMs = this.#clock()
    if (nowMs - this.#tickedAtMs > this.#maxGapMs) this.#resumedAtMs = nowMs
    this.#tickedAtMs = nowMs
  }

  /** Whether information of this age was obtained after the last pause. */
  isCurrent(ageMs: number): boolean {
    // After a pause, a request may run before the regular tick.
    this.tick()
    return this.#clock() - ageMs >= this.#resumedAtMs
  }
}
