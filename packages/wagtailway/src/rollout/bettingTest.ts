/**
 * An anytime-valid sequential test of whether the mean rating is below a floor.
 *
 * A bettor who bets against the floor multiplies its wealth by 1 + bet × (floor − score)
 * with each rating. If the true mean is at least the floor, no betting strategy is
 * expected to gain, so the probability that wealth ever exceeds 1 / α is at most α,
 * whenever and however often the test is evaluated (Ville's inequality). Logarithms of
 * wealth add up over ratings and nodes, so the evidence of all nodes is merged by
 * summing.
 *
 * New bettors start in each epoch with a fraction of the initial capital, so that good
 * ratings in the past don't hide a later decline.
 */
import type { EpochSums } from '../quality/evidenceTable.js'

/** Bet sizes, as fractions of the largest bet that can't lose all wealth. */
const BET_FRACTIONS = [0.05, 0.15, 0.3, 0.5, 0.75] as const

/** Number of bettors: each rating adds one increment to the log-wealth sum of each. */
export const BETTOR_COUNT = BET_FRACTIONS.length

/** Smallest fraction of the initial capital that an epoch's bettors start with. */
const MIN_START_CAPITAL = 1e-5

/**
 * Limits the floor in the bet size: with a floor of 1, the largest bet would be infinite.
 */
const MAX_FLOOR = 0.99

/**
 * Amounts that one rating adds to the logarithm of each bettor's wealth.
 *
 * @param score Rating in [0, 1].
 *
 * @example
 * logWealthIncrements(0.2, 0.8) // five positive numbers: the rating is below the floor
 */
export function logWealthIncrements(score: number, floor: number): number[] {
  const largestBet = 1 / (1 - Math.min(floor, MAX_FLOOR))
  return BET_FRACTIONS.map((fraction) =>
    Math.log1p(fraction * largestBet * (floor - score)),
  )
}

/**
 * Total wealth of all bettors, relative to the initial capital.
 *
 * @param epochs Sums of the cells of each epoch, oldest first.
 * @param firstEpoch Epoch in which the test began.
 * @param firstIncrement Index in an epoch's values of the first sum of
 * {@link logWealthIncrements}.
 *
 * @example
 * // Below the floor, with a false alarm probability of 0.2 %.
 * wealthAgainstFloor(epochs, 120, 0) >= 1 / 0.002
 */
export function wealthAgainstFloor(
  epochs: readonly EpochSums[],
  firstEpoch: number,
  firstIncrement: number,
): number {
  const wealth = BET_FRACTIONS.map(() => 0)
  for (const { epoch, values } of epochs) {
    const startingCapital = startCapital(epoch - firstEpoch) / BETTOR_COUNT
    for (const [i, capital] of wealth.entries()) {
      wealth[i] = (capital + startingCapital) * Math.exp(values[firstIncrement + i] ?? 0)
    }
  }
  return wealth.reduce((sum, capital) => sum + capital, 0)
}

/**
 * Fraction of the initial capital for the bettors that start at this age of the test, in
 * epochs. Without the lower limit, the fractions of all epochs would add up to one.
 */
function startCapital(age: number): number {
  const rank = age + 1
  return Math.max(MIN_START_CAPITAL, 1 / (rank * (rank + 1)))
}
