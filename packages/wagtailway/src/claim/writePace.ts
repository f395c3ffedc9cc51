/** Bounds the mean rate of writes while letting a few follow each other at once. */
import type { Clock } from '../clock.js'

export interface WritePaceOptions {
  readonly writeIntervalMs: number
  readonly writeBurst: number
  readonly clock: Clock
}

/**
 * Token bucket of writes.
 *
 * @example
 * const pace = WritePace.create({ writeIntervalMs: 250, writeBurst: 8, clock })
 * pace.pauseMs() // 0
 */
export class WritePace {
  #tokens: number
  #filledAtMs: number

  private constructor(private readonly opts: WritePaceOptions) {
    this.#tokens = opts.writeBurst
    this.#filledAtMs = opts.clock()
  }

  static create(opts: WritePaceOptions): WritePace {
    return new WritePace(opts)
  }

  /** Time until the next write fits, in milliseconds. */
  pauseMs(): number {
    const { writeIntervalMs } = this.opts
    return Math.max(0, (1 - this.#available()) * writeIntervalMs)
  }

  /** Notes a write; a retry without a token makes the next one wait no longer than the pause. */
  take(): void {
    this.#tokens = Math.max(0, this.#available() - 1)
    this.#filledAtMs = this.opts.clock()
  }

  #available(): number {
    const { clock, writeBurst, writeIntervalMs } = this.opts
    const gained = (clock() - this.#filledAtMs) / writeIntervalMs
    return Math.min(writeBurst, this.#tokens + gained)
  }
}
