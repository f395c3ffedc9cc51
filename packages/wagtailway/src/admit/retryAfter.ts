/** Retry-after times for refused callers. */
import type { Random } from '../random.js'

/** Mean time without overload, in milliseconds. */
const BASE_MS = 1_000
/** Upper bound of the mean time, in milliseconds. */
const MAX_MS = 30_000

/**
 * Random time until a refused caller should retry; its mean grows with the overload, and
 * jitter of ±50 % spreads the retries of many callers.
 *
 * @param overloadFactor Arriving requests per request that can be served.
 *
 * @example
 * retryAfterMs(10, random) // between 5000 and 15000
 */
export function retryAfterMs(overloadFactor: number, random: Random): number {
  const meanMs = Math.min(MAX_MS, BASE_MS * Math.max(1, overloadFactor))
  return Math.round(meanMs * (0.5 + random()))
}
