/**
 * Limit on the requests that one node has in progress at one replica.
 *
 * The window grows while latencies are below their goal and shrinks when they
 * exceed it. The windows of all nodes thereby converge to a total that keeps the
 * replica's queue short, without communication between the nodes.
 */
import { DecayingAverage } from './decayingAverage.js'

export interface AdaptiveWindowOptions {
  /**
   * Initial window, in requests.
   * @default 4
   */
  readonly initial?: number
  /**
   * Smallest window, in requests. Below one, a node would send nothing and never notice a recovery.
   * @default 1
   */
  readonly min?: number
  /**
   * Largest window, in requests.
   * @default 256
   */
  readonly max?: number
  /**
   * Factor by which a decrease multiplies the window.
   * @default 0.9
   */
  readonly decrease?: number
  /**
   * Growth per full window of responses while the replica's queue is almost empty, in requests.
   * @default 0.5
   */
  readonly fastIncrease?: number
  /**
   * Growth per full window of responses while the replica's queue is short, in requests.
   * @default 0.05
   */
  readonly slowIncrease?: number
}

/** Fraction of the window that must be in use for the window to grow. */
const USED_FRACTION = 0.75

/** Mean pressure below which the window grows by `fastIncrease`. */
const FAST_GROWTH_BELOW = 0.1

/**
 * Pressure below which a response lets the window grow; from here to 1 the window stays
 * as it is.
 */
const GROWTH_BELOW = 0.6

/** Weight of one response in the mean pressure. */
const PRESSURE_WEIGHT = 0.1

/**
 * Window with additive increase and multiplicative decrease (AIMD), driven by latency over goal.
 *
 * @example
 * const window = AdaptiveWindow.create()
 * const requestNumber = window.start()
 * window.observe(requestNumber, firstTokenMs / goalMs)
 * window.finish()
 */
export class AdaptiveWindow {
  readonly #min: number
  readonly #max: number
  readonly #decrease: number
  readonly #fastIncrease: number
  readonly #slowIncrease: number
  readonly #meanPressure = DecayingAverage.create(PRESSURE_WEIGHT)
  #limit: number
  #inFlight = 0
  #started = 0
  /**
   * Number of the last request that started before the last decrease. Latencies of requests
   * up to this one reflect the old window and cause no further decrease.
   */
  #lastRequestBeforeDecrease = 0

  private constructor(opts: AdaptiveWindowOptions) {
    this.#min = opts.min ?? 1
    this.#max = opts.max ?? 256
    this.#decrease = opts.decrease ?? 0.9
    this.#fastIncrease = opts.fastIncrease ?? 0.5
    this.#slowIncrease = opts.slowIncrease ?? 0.05
    this.#limit = opts.initial ?? 4
  }

  static create(opts: AdaptiveWindowOptions = {}): AdaptiveWindow {
    return new AdaptiveWindow(opts)
  }

  get limit(): number {
    return this.#limit
  }

  get inFlight(): number {
    return this.#inFlight
  }

  /** Whether one more request may start, with `extra` slots on top of the window. */
  hasRoom(extra = 0): boolean {
    return this.#inFlight < Math.floor(this.#limit) + extra
  }

  /** Records the start of a request; returns its sequence number. */
  start(): number {
    this.#inFlight += 1
    this.#started += 1
    return this.#started
  }

  /** Records the end of a request. */
  finish(): void {
    // A replica that was removed and added again has a new window, which also receives
    // the ends of requests that started under the old one.
    this.#inFlight = Math.max(0, this.#inFlight - 1)
  }

  /**
   * Records the latency of a response as soon as it is known.
   *
   * @param requestNumber Sequence number that `start` returned.
   * @param pressure Latency divided by its goal.
   */
  observe(requestNumber: number, pressure: number): void {
    this.#meanPressure.add(pressure)
    if (pressure > 1) {
      if (requestNumber > this.#lastRequestBeforeDecrease) this.#shrink()
    } else if (pressure < GROWTH_BELOW && this.#isWellUsed) {
      this.#limit = Math.min(this.#max, this.#limit + this.#growth)
    }
  }

  /**
   * Growth per response; until the first decrease, a full window of responses doubles
   * the window.
   */
  get #growth(): number {
    if (this.#lastRequestBeforeDecrease === 0) return 1
    const isIdle = (this.#meanPressure.value ?? 0) < FAST_GROWTH_BELOW
    return (isIdle ? this.#fastIncrease : this.#slowIncrease) / this.#limit
  }

  get #isWellUsed(): boolean {
    return this.#inFlight >= this.#limit * USED_FRACTION
  }

  #shrink(): void {
    this.#limit = Math.max(this.#min, this.#limit * this.#decrease)
    this.#lastRequestBeforeDecrease = this.#started
  }
}
