/** Estimates of a mean score in [0, 1] from counts and sums, with confidence bounds. */

/** Sums of scores; the count may be fractional after discounting. */
export interface ScoreSums {
  readonly count: number
  readonly sum: number
  readonly squares: number
}

export interface ScoreEstimate {
  /** Expected score in [0, 1], the prior included. */
  readonly mean: number
  /** Scores behind the estimate, the prior not included; fewer where old ones count less. */
  readonly count: number
  /** Standard error of the mean. */
  readonly error: number
}

/** What is believed before any score arrives. */
export interface ScorePrior {
  readonly mean: number
  /** Weight in scores. */
  readonly weight: number
  /** Standard deviation of single scores. */
  readonly deviation: number
}

/** Standard errors of a one-sided bound held with 95 % confidence. */
export const CONFIDENT_ERRORS = 1.645

/**
 * Blends scores with a prior.
 *
 * @example
 * estimateScore({ count: 0, sum: 0, squares: 0 }, prior).mean // prior.mean
 */
export function estimateScore(sums: ScoreSums, prior: ScorePrior): ScoreEstimate {
  const weight = sums.count + prior.weight
  const mean = (sums.sum + prior.weight * prior.mean) / weight
  const priorSquares = prior.mean ** 2 + prior.deviation ** 2
  const squares = (sums.squares + prior.weight * priorSquares) / weight
  const variance = Math.max(0, squares - mean ** 2)
  return { mean, count: sums.count, error: Math.sqrt(variance / weight) }
}

/** Lower bound of the mean. */
export function lowerBound(
  estimate: ScoreEstimate,
  errors: number = CONFIDENT_ERRORS,
): number {
  return estimate.mean - errors * estimate.error
}

/** Upper bound of the mean. */
export function upperBound(
  estimate: ScoreEstimate,
  errors: number = CONFIDENT_ERRORS,
): number {
  return estimate.mean + errors * estimate.error
}
