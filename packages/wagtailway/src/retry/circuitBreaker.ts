/** Keeps requests away from a backend server that fails, and probes whether it has recovered. */
import type { Clock } from '../clock.js'
import type { Random } from '../random.js'

export interface BreakerOptions {
  readonly clock: Clock
  readonly random: Random
  /**
   * Failures in a row that open the breaker.
   * @default 5
   */
  readonly failures?: number
  /**
   * First time that the breaker stays open, in milliseconds; doubled by each failed probe.
   * @default 1_000
   */
  readonly openMs?: number
  /**
   * Longest time that the breaker stays open, in milliseconds.
   * @default 30_000
   */
  readonly maxOpenMs?: number
}

export type BreakerState = 'closed' | 'open' | 'half_open'

/**
 * A circuit breaker with one probe at a time.
 *
 * @example
 * const breaker = Breaker.create({ clock, random })
 * if (breaker.allows) breaker.start()
 * breaker.finish(false)
 */
export class Breaker {
  readonly #failures: number
  readonly #openMs: number
  readonly #maxOpenMs: number
  #failed = 0
  #opened = 0
  #probeAtMs = 0
  #probing = false

  private constructor(private readonly opts: BreakerOptions) {
    this.#failures = opts.failures ?? 5
    this.#openMs = opts.openMs ?? 1_000
    this.#maxOpenMs = opts.maxOpenMs ?? 30_000
  }

  static create(opts: BreakerOptions): Breaker {
    return new Breaker(opts)
  }

  get state(): BreakerState {
    if (this.#opened === 0) return 'closed'
    return this.opts.clock() >= this.#probeAtMs ? 'half_open' : 'open'
  }

  /** Whether a request may start now. */
  get allows(): boolean {
    const { state } = this
    return state === 'closed' || (state === 'half_open' && !this.#probing)
  }

  /** Time until a probe is allowed, in milliseconds. */
  get waitMs(): number {
    return this.#opened === 0 ? 0 : Math.max(0, this.#probeAtMs - this.opts.clock())
  }

  /** Notes the start of a request; in the half-open state it is the probe. */
  start(): void {
    if (this.#opened > 0) this.#probing = true
  }

  /** Notes the end of a request; `undefined` tells nothing about the server's health. */
  finish(ok: boolean | undefined): void {
    this.#probing = false
    if (ok === undefined) return
    if (ok) {
      this.#failed = 0
      this.#opened = 0
      return
    }
    this.#failed += 1
    if (this.#failed >= this.#failures) this.#open()
  }

  #open(): void {
    // Failures of requests that started before it opened don't prolong it.
    if (this.state === 'open') return
    const openMs = Math.min(this.#maxOpenMs, this.#openMs * 2 ** this.#opened)
    this.#opened += 1
    // Jitter keeps the probes of many nodes apart.
    this.#probeAtMs = this.opts.clock() + openMs * (0.5 + this.opts.random())
  }
}
