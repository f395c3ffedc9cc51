/** One-shot timers that can be cancelled and restarted. */

export interface Timer {
  cancel(): void
  /** Replaces the timeout with a new delay. */
  restart(delayMs: number): void
}

/**
 * Calls `callback` once after a delay.
 *
 * @example
 * const timer = startTimer(500, () => attempt.cancel())
 * timer.cancel()
 */
export function startTimer(delayMs: number, callback: () => void): Timer {
  let handle = setTimeout(callback, Math.max(0, delayMs))
  return {
    cancel() {
      clearTimeout(handle)
    },
    restart(nextMs) {
      clearTimeout(handle)
      handle = setTimeout(callback, Math.max(0, nextMs))
    },
  }
}
