/** One-shot timers that can be cancelled and restarted. */

export interface Timer {
  cancel(): void
  /** Replaces the timeout with a new delay. */
  restart(delayMs: number): void
}

/**
 * Calls `callback` once after a delay. After a standstill of the process, timers that are due
 * run before the event loop reads: what has come in the meantime is read first, so that its
 * listeners can cancel the timer.
 *
 * @example
 * const timer = startTimer(500, () => attempt.cancel())
 * timer.cancel()
 */
export function startTimer(delayMs: number, callback: () => void): Timer {
  let immediate: NodeJS.Immediate | undefined
  const start = (ms: number): NodeJS.Timeout =>
    setTimeout(
      () => {
        immediate = setImmediate(callback)
      },
      Math.max(0, ms),
    )
  const cancel = (): void => {
    clearTimeout(handle)
    clearImmediate(immediate)
  }
  let handle = start(delayMs)
  return {
    cancel,
    restart(nextMs) {
      cancel()
      handle = start(nextMs)
    },
  }
}
