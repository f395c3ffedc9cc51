/** Cost of calls to backend servers. */
import type { Candidate } from '../config/effective.js'

const MICROS_PER_UNIT = 1_000_000
const TOKENS_PER_PRICE = 1_000

/**
 * Cost of one call in millionths of the currency unit.
 *
 * @example
 * costMicros(candidate, 1_000, 0) // candidate.promptPrice * 1_000_000
 */
export function costMicros(
  candidate: Pick<Candidate, 'promptPrice' | 'completionPrice'>,
  promptTokens: number,
  completionTokens: number,
): number {
  const units =
    promptTokens * candidate.promptPrice + completionTokens * candidate.completionPrice
  return Math.round((units / TOKENS_PER_PRICE) * MICROS_PER_UNIT)
}
