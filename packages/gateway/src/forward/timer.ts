/** Timers with an explicit end. */

export interface Timer {
  cancel(): void
  /** Starts the delay anew. */
  restart(delayMs: number): void
}

/**
 * Calls `act` once after a delay.
 *
 * @example
 * const timer = after(500, giveUp)
 * timer.cancel()
 */
export function after(delayMs: number, act: () => void): Timer {
  let handle = setTimeout(act, Math.max(0, delayMs))
  return {
    cancel() {
      clearTimeout(handle)
    },
    restart(nextMs) {
      clearTimeout(handle)
      handle = setTimeout(act, Math.max(0, nextMs))
    },
  }
}
