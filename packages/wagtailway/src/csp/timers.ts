/** Timers that coordination parts take as an argument, so that tests run in virtual time. */

/** Calls `fn` after `ms` milliseconds; the returned function cancels it. */
export type StartTimer = (ms: number, fn: () => void) => () => void

/** Timers of the process. */
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
 * Resolves to what the promise gives, or to `late` once the time is up.
 *
 * @example
 * await within(startTimer, 250, client.call(), undefined)
 */
export function withTimeout<T>(
  start: StartTimer,
  ms: number,
  promise: Promise<T>,
  late: T,
): Promise<T> {
  return new Promise((resolve, reject) => {
    const cancel = start(ms, () => {
      resolve(late)
    })
    promise.then(resolve, reject).finally(cancel)
  })
}
