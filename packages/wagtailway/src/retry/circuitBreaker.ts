/**
 * Circuit breaker: stops requests to a failing backend server and probes whether it has
 * recovered.
 */
import type { Clock } from '../clock.js'
import type { Random } from '../random.js'

export interface CircuitBreakerOptions {
  readonly clock: Clock
  readonly random: Random
  /**
   * Number of consecutive failures that opens the circuit breaker.
   * @default 5
   */
  readonly failureThreshold?: number
  /**
   * Base time for which the circuit breaker stays open, in milliseconds; doubled by each failed
   * probe and jittered by ±50 %.
   * @default 1_000
   */
  readonly openMs?: number
  /**
   * Upper limit of the open time before jitter, in milliseconds.
   * @default 30_000
   */
  readonly maxOpenMs?: number
}

export type CircuitBreakerState = 'closed' | 'open' | 'half_open'

/**
 * Circuit breaker with one probe at a time.
 *
 * @example
 * const breaker = CircuitBreaker.create({ clock, random })
 * if (breaker.allows) breaker.start()
 * breaker.finish(false)
 */
export class CircuitBreaker {
  readonly #failureThreshold: number
  readonly #openMs: number
  readonly #maxOpenMs: number
  #consecutiveFailures = 0
  #timesOpened = 0
  #probeAtMs = 0
  #probing = false

  private constructor(private readonly opts: CircuitBreakerOptions) {
    this.#failureThreshold = opts.failureThreshold ?? 5
    this.#openMs = opts.openMs ?? 1_000
    this.#maxOpenMs = opts.maxOpenMs ?? 30_000
  }

  static create(opts: CircuitBreakerOptions): CircuitBreaker {
    return new CircuitBreaker(opts)
  }

  get state(): CircuitBreakerState {
    if (this.#timesOpened === 0) return 'closed'
    return this.opts.clock() >= this.#probeAtMs ? 'half_open' : 'open'
  }

  /** Whether a request may start now. */
  get allows(): boolean {
    const { state } = this
    return state === 'closed' || (state === 'half_open' && !this.#probing)
  }

  /** Time until the next probe is allowed, in milliseconds; zero if the breaker is not open. */
  get waitMs(): number {
    return this.#timesOpened === 0 ? 0 : Math.max(0, this.#probeAtMs - this.opts.clock())
  }

  /** Records the start of a request, which counts as a probe unless the breaker is closed. */
  start(): void {
    if (this.#timesOpened > 0) this.#probing = true
  }

  /**
   * Records the end of a request; `ok` is `undefined` if it says nothing about the
   * server's health.
   */
  finish(ok: boolean | undefined): void {
    this.#probing = false
    if (ok === undefined) return
    if (ok) {
      this.#consecutiveFailures = 0
      this.#timesOpened = 0
      return
    }
    this.#consecutiveFailures += 1
    if (this.#consecutiveFailures >= this.#failureThreshold) this.#open()
  }

  #open(): void {
    // Failures of requests that started before the breaker opened must not prolong the open time.
    if (this.state === 'open') return
    const openMs = Math.min(this.#maxOpenMs, this.#openMs * 2 ** this.#timesOpened)
    this.#timesOpened += 1
    // Jitter prevents many nodes from probing at the same time.
    this.#probeAtMs = this.opts.clock() + openMs * (0.5 + this.opts.random())
  }
}
