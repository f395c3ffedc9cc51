/** Limits the mean rate of writes while allowing short bursts. */
import type { Clock } from '../clock.js'

export interface WriteRateLimiterOptions {
  readonly writeIntervalMs: number
  readonly writeBurst: number
  readonly clock: Clock
}

/**
 * Token bucket for writes.
 *
 * @example
 * const limiter = WriteRateLimiter.create({ writeIntervalMs: 250, writeBurst: 8, clock })
 * limiter.waitMs() // 0
 */
export class WriteRateLimiter {
  #tokens: number
  #refilledAtMs: number

  private constructor(private readonly opts: WriteRateLimiterOptions) {
    this.#tokens = opts.writeBurst
    this.#refilledAtMs = opts.clock()
  }

  static create(opts: WriteRateLimiterOptions): WriteRateLimiter {
    return new WriteRateLimiter(opts)
  }

  /** Time until the next write is allowed, in milliseconds; zero if it is allowed now. */
  waitMs(): number {
    const { writeIntervalMs } = this.opts
    return Math.max(0, (1 - this.#available()) * writeIntervalMs)
  }

  /**
   * Records a write. A retry may write without a token; the delay of the next write still
   * is at most `writeIntervalMs`.
   */
  recordWrite(): void {
    this.#tokens = Math.max(0, this.#available() - 1)
    this.#refilledAtMs = this.opts.clock()
  }

  #available(): number {
    const { clock, writeBurst, writeIntervalMs } = this.opts
    const refilled = (clock() - this.#refilledAtMs) / writeIntervalMs
    return Math.min(writeBurst, this.#tokens + refilled)
  }
}
