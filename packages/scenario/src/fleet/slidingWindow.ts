/** Counts events in sliding windows. */

/**
 * Largest number of events in any window of a length.
 *
 * @param times Times of the events, in ascending order.
 * @param windowMs Length of the window, in milliseconds.
 *
 * @example
 * worstWindow([0, 100, 900, 5_000], 1_000) // 3
 */
export function worstWindow(times: readonly number[], windowMs: number): number {
  let worst = 0
  let first = 0
  for (const [i, atMs] of times.entries()) {
    while ((times[first] ?? atMs) <= atMs - windowMs) first += 1
    worst = Math.max(worst, i - first + 1)
  }
  return worst
}
