/**
 * Number of requests that one node keeps in progress at one replica.
 *
 * The window grows while answers come faster than their goal and shrinks when
 * they come later, so that the windows of all nodes together settle where the
 * replica's queue is short, without the nodes telling each other.
 */

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
   * Growth of the window for each full window of fast answers.
   * @default 0.1
   */
  readonly increase?: number
}

/** Part of the window that must be in use for it to grow. */
const USED_FRACTION = 0.75

/** Below this pressure the window grows; from here to one it stays. */
const GROW_BELOW = 0.6

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
  readonly #increase: number
  #limit: number
  #inFlight = 0
  #started = 0
  /** Requests up to this one started before the last decrease and tell nothing about it. */
  #decreasedAt = 0

  private constructor(opts: AdaptiveWindowOptions) {
    this.#min = opts.min ?? 1
    this.#max = opts.max ?? 256
    this.#decrease = opts.decrease ?? 0.9
    this.#increase = opts.increase ?? 0.1
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
    if (pressure > 1) {
      if (request > this.#decreasedAt) this.#shrink()
    } else if (pressure < GROW_BELOW && this.#isUsed) {
      this.#limit = Math.min(this.#max, this.#limit + this.#increase / this.#limit)
    }
  }

  get #isUsed(): boolean {
    return this.#inFlight >= this.#limit * USED_FRACTION
  }

  #shrink(): void {
    this.#limit = Math.max(this.#min, this.#limit * this.#decrease)
    this.#decreasedAt = this.#started
  }
}
