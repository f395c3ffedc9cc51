/** Clocks that are passed to decision logic as an argument. */

/** Returns a time in milliseconds. */
export type Clock = () => number

/** Milliseconds since an arbitrary start; never goes back, even if the wall clock does. */
export const monotonicClock: Clock = () => performance.now()

/** Milliseconds since the epoch, for values that leave the process. */
export const wallClock: Clock = () => Date.now()

/**
 * A clock for tests and experiments that advances only when `advance` is called.
 *
 * @example
 * const clock = VirtualClock.create()
 * clock.advance(1_000)
 * clock.now() // 1000
 */
export class VirtualClock {
  #nowMs: number

  private constructor(startMs: number) {
    this.#nowMs = startMs
  }

  static create(startMs = 0): VirtualClock {
    return new VirtualClock(startMs)
  }

  readonly now: Clock = () => this.#nowMs

  /** Moves the clock forward by `ms`. */
  advance(ms: number): void {
    this.#nowMs += ms
  }
}
