/** Estimates of a mean score in [0, 1] from counts and sums, with confidence bounds. */

/** Sums over scores; the count may be fractional, since old scores are discounted. */
export interface ScoreSums {
  readonly count: number
  readonly sum: number
  /** Sum of the squared scores. */
  readonly squares: number
}

export interface ScoreEstimate {
  /** Expected score in [0, 1], including the prior. */
  readonly mean: number
  /** Number of scores without the prior; discounted scores count as fractions. */
  readonly count: number
  /** Standard error of the mean. */
  readonly error: number
}

/** Prior belief about a mean score. */
export interface ScorePrior {
  readonly mean: number
  /** Weight, as a number of scores. */
  readonly weight: number
  /** Standard deviation of single scores. */
  readonly deviation: number
}

/** Distance of a one-sided 95 % confidence bound from the mean, in standard errors. */
export const CONFIDENT_ERRORS = 1.645

/**
 * Estimates the mean score from scores and a prior.
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

/** Lower confidence bound of the mean, `errors` standard errors below it. */
export function lowerBound(
  estimate: ScoreEstimate,
  errors: number = CONFIDENT_ERRORS,
): number {
  return estimate.mean - errors * estimate.error
}

/** Upper confidence bound of the mean, `errors` standard errors above it. */
export function upperBound(
  estimate: ScoreEstimate,
  errors: number = CONFIDENT_ERRORS,
): number {
  return estimate.mean + errors * estimate.error
}
