/**
 * Notices that this process has been paused, so that it doesn't act on what it
 * knew before.
 */
import type { Clock } from '../clock.js'

export interface PauseGuardOptions {
  /** Monotonic clock that goes on during a pause. */
  readonly clock: Clock
  /**
   * Gap between two beats that counts as a pause, in milliseconds.
   * @default 3_000
   */
  readonly maxGapMs?: number
}

/**
 * Beaten regularly; says whether what is known is younger than the last pause.
 *
 * @example
 * const guard = PauseGuard.create({ clock: monotonicClock })
 * guard.beat()
 * guard.isCurrent(instances.ageMs)
 */
export class PauseGuard {
  readonly #clock: Clock
  readonly #maxGapMs: number
  #lastBeatMs: number
  #wokeAtMs = Number.NEGATIVE_INFINITY

  private constructor(opts: PauseGuardOptions) {
    this.#clock = opts.clock
    this.#maxGapMs = opts.maxGapMs ?? 3_000
    this.#lastBeatMs = opts.clock()
  }

  static create(opts: PauseGuardOptions): PauseGuard {
    return new PauseGuard(opts)
  }

  /** Notes that the process runs. */
  tick(): void {
    const nowMs = this.#clock()
    if (nowMs - this.#lastBeatMs > this.#maxGapMs) this.#wokeAtMs = nowMs
    this.#lastBeatMs = nowMs
  }

  /** Whether knowledge of this age was gained since the last pause. */
  isCurrent(ageMs: number): boolean {
    // The first thing to run after a pause may be a request and not the beat.
    this.tick()
    return this.#clock() - ageMs >= this.#wokeAtMs
  }
}
