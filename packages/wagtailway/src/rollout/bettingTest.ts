/**
 * A sequential test of whether ratings fall below a floor, valid at any time.
 *
 * A bettor who bets against the floor multiplies its wealth by 1 + bet × (floor − score)
 * with each rating. If the true mean is at least the floor, no strategy is expected to
 * gain, so wealth above 1 / α has a chance of at most α, whenever and however often
 * somebody looks (Ville's inequality). Logarithms of wealth add up over ratings and
 * nodes, so evidence of all nodes merges by sums.
 *
 * New bettors start at each epoch with a part of the first capital, so that a good past
 * doesn't hide a later fall.
 */
import type { EpochSums } from '../quality/evidenceTable.js'

/** Bets relative to the largest that can't be ruined. */
const BET_FRACTIONS = [0.05, 0.15, 0.3, 0.5, 0.75] as const

/** Number of sums that one rating adds to. */
export const BET_COUNT = BET_FRACTIONS.length

/** Smallest part of the first capital that an epoch's bettors start with. */
const MIN_START = 1e-5

/** A floor at one would make every bet ruinous or empty. */
const MAX_FLOOR = 0.99

/**
 * What one rating adds to the logarithm of each bettor's wealth.
 *
 * @param score Rating in [0, 1].
 *
 * @example
 * betTerms(0.2, 0.8) // five positive numbers: the rating is below the floor
 */
export function betTerms(score: number, floor: number): number[] {
  const largest = 1 / (1 - Math.min(floor, MAX_FLOOR))
  return BET_FRACTIONS.map((part) => Math.log1p(part * largest * (floor - score)))
}

/**
 * Wealth of all bettors together, relative to their first capital.
 *
 * @param epochs Sums of each epoch, oldest first.
 * @param firstEpoch Epoch in which the test began.
 * @param firstTerm Place of the first sum of {@link betTerms} among the values.
 *
 * @example
 * wealthAgainst(epochs, 120, 0) >= 1 / 0.002 // below the floor, wrong twice in 1,000
 */
export function wealthAgainst(
  epochs: readonly EpochSums[],
  firstEpoch: number,
  firstTerm: number,
): number {
  const wealth = BET_FRACTIONS.map(() => 0)
  for (const { epoch, values } of epochs) {
    const start = startCapital(epoch - firstEpoch) / BET_COUNT
    for (const [i, owned] of wealth.entries()) {
      wealth[i] = (owned + start) * Math.exp(values[firstTerm + i] ?? 0)
    }
  }
  return wealth.reduce((sum, owned) => sum + owned, 0)
}

/** Parts that add up to one over all epochs, but for the smallest ones. */
function startCapital(age: number): number {
  const rank = age + 1
  return Math.max(MIN_START, 1 / (rank * (rank + 1)))
}
