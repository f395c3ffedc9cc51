/**
 * Number of requests that one node keeps in progress at one replica.
 *
 * The window grows while answers come faster than their goal and shrinks when
 * they come later, so that the windows of all nodes together settle where the
 * replica's queue is short, without the nodes telling each other.
 */
import { DecayingAverage } from './decayingAverage.js'

export interface AdaptiveWindowOptions {
  /**
   * Requests in progress at the start.
   * @default 4
   */
  readonly initial?: number
  /**
   * Smallest window; below one a node would never learn that the replica recovered.
   * @default 1
   */
  readonly min?: number
  /**
   * Largest window.
   * @default 256
   */
  readonly max?: number
  /**
   * Factor of one decrease.
   * @default 0.9
   */
  readonly decrease?: number
  /**
   * Growth for each full window of answers while the replica has next to no queue.
   * @default 0.5
   */
  readonly fastIncrease?: number
  /**
   * Growth for each full window of answers while it has a short queue.
   * @default 0.05
   */
  readonly slowIncrease?: number
}

/** Part of the window that must be in use for it to grow. */
const USED_FRACTION = 0.75

/** Below this mean pressure the window grows fast. */
const FAST_BELOW = 0.1

/** Below this pressure the window grows slowly; from here to one it stays. */
const SLOW_BELOW = 0.6

/** Weight of one answer in the mean pressure. */
const PRESSURE_WEIGHT = 0.1

/**
 * Additive increase, multiplicative decrease by the ratio of latency and goal.
 *
 * @example
 * const window = AdaptiveWindow.create()
 * const request = window.start()
 * window.observe(request, firstTokenMs / goalMs)
 * window.finish()
 */
export class AdaptiveWindow {
  readonly #min: number
  readonly #max: number
  readonly #decrease: number
  readonly #fastIncrease: number
  readonly #slowIncrease: number
  readonly #pressure = DecayingAverage.create(PRESSURE_WEIGHT)
  #limit: number
  #inFlight = 0
  #started = 0
  /** Requests up to this one started before the last decrease and tell nothing about it. */
  #decreasedAt = 0

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

  /** Whether one more request may start, with `extra` places on top of the window. */
  hasRoom(extra = 0): boolean {
    return this.#inFlight < Math.floor(this.#limit) + extra
  }

  /** Notes the start of a request; returns its number. */
  start(): number {
    this.#inFlight += 1
    this.#started += 1
    return this.#started
  }

  /** Notes the end of a request. */
  finish(): void {
    // A replica that left and came back has a new window for requests of the old one.
    this.#inFlight = Math.max(0, this.#inFlight - 1)
  }

  /**
   * Notes how long the replica took to begin an answer, as soon as that is known.
   *
   * @param request Number that `start` returned.
   * @param pressure Latency divided by its goal.
   */
  observe(request: number, pressure: number): void {
    this.#pressure.add(pressure)
    if (pressure > 1) {
      if (request > this.#decreasedAt) this.#shrink()
    } else if (pressure < SLOW_BELOW && this.#isUsed) {
      this.#limit = Math.min(this.#max, this.#limit + this.#growth)
    }
  }

  /** Until the first decrease the window doubles with each full window of answers. */
  get #growth(): number {
    if (this.#decreasedAt === 0) return 1
    const isIdle = (this.#pressure.value ?? 0) < FAST_BELOW
    return (isIdle ? this.#fastIncrease : this.#slowIncrease) / this.#limit
  }

  get #isUsed(): boolean {
    return this.#inFlight >= this.#limit * USED_FRACTION
  }

  #shrink(): void {
    this.#limit = Math.max(this.#min, this.#limit * this.#decrease)
    this.#decreasedAt = this.#started
  }
}
