/** When a refused caller should come back. */
import type { Random } from '../random.js'

const BASE_MS = 1_000
const MAX_MS = 30_000

/**
 * Spreads returning callers over a time that grows with the excess of requests.
 *
 * @param excess Requests arriving for each one that can be served.
 *
 * @example
 * retryAfterMs(10, random) // between 5000 and 15000
 */
export function retryAfterMs(excess: number, random: Random): number {
  const meanMs = Math.min(MAX_MS, BASE_MS * Math.max(1, excess))
  return Math.round(meanMs * (0.5 + random()))
}
