/** Timers that coordination code takes as an argument, so that tests can run in virtual time. */

/** Calls `fn` after `ms` milliseconds; the returned function cancels the timer. */
export type StartTimer = (ms: number, fn: () => void) => () => void

/** Starts a timer of the Node.js process. */
export const startTimer: StartTimer = (ms, fn) => {
  const timer = setTimeout(fn, ms)
  return () => {
    clearTimeout(timer)
  }
}

/**
 * Resolves after `ms` milliseconds.
 *
 * @example
 * await sleep(startTimer, 50)
 */
export function sleep(start: StartTimer, ms: number): Promise<void> {
  return new Promise((resolve) => {
    start(ms, resolve)
  })
}

/**
 * Resolves or rejects as the promise does, or resolves to `timeoutValue` after `ms` milliseconds.
 *
 * @example
 * await withTimeout(startTimer, 250, client.call(), undefined)
 */
export function withTimeout<T>(
  start: StartTimer,
  ms: number,
  promise: Promise<T>,
  timeoutValue: T,
): Promise<T> {
  return new Promise((resolve, reject) => {
    const cancel = start(ms, () => {
      resolve(timeoutValue)
    })
    promise.then(resolve, reject).finally(cancel)
  })
}
