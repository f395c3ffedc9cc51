/** Means, ratios and their confidence intervals over seeds. */
import type { Random } from '@wagtailway/core'

/** An estimate with its 95 % confidence interval. */
export interface Interval {
  readonly mean: number
  readonly low: number
  readonly high: number
}

/** Two-sided 95 % critical values of Student's t for 1 to 30 degrees of freedom. */
const STUDENT_T = [
  12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179,
  2.16, 2.145, 2.131, 2.12, 2.11, 2.101, 2.093, 2.086, 2.08, 2.074, 2.069, 2.064, 2.06,
  2.056, 2.052, 2.048, 2.045, 2.042,
]
const NORMAL_Z = 1.96

const RESAMPLES = 2_000
const LOW_QUANTILE = 0.025
const HIGH_QUANTILE = 0.975

export function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

/**
 * Mean with its 95 % confidence interval by Student's t distribution.
 *
 * @example
 * meanInterval([1, 2, 3]).mean // 2
 */
export function meanInterval(values: readonly number[]): Interval {
  const sampleMean = mean(values)
  const degreesOfFreedom = values.length - 1
  if (degreesOfFreedom < 1) return { mean: sampleMean, low: sampleMean, high: sampleMean }
  const squaredDeviations = values.reduce(
    (sum, value) => sum + (value - sampleMean) ** 2,
    0,
  )
  const standardError = Math.sqrt(squaredDeviations / degreesOfFreedom / values.length)
  const halfWidth = (STUDENT_T[degreesOfFreedom - 1] ?? NORMAL_Z) * standardError
  return { mean: sampleMean, low: sampleMean - halfWidth, high: sampleMean + halfWidth }
}

/**
 * Ratio of two means over the same seeds, with its 95 % confidence interval by a paired
 * bootstrap.
 *
 * @example
 * ratioInterval([1, 2], [2, 4], seededRandom(1)).mean // 0.5
 */
export function ratioInterval(
  numerators: readonly number[],
  denominators: readonly number[],
  random: Random,
): Interval {
  const ratios = Array.from({ length: RESAMPLES }, () => resampledRatio())
  ratios.sort((a, b) => a - b)
  return {
    mean: mean(numerators) / mean(denominators),
    low: ratios[Math.floor(RESAMPLES * LOW_QUANTILE)] ?? 0,
    high: ratios[Math.floor(RESAMPLES * HIGH_QUANTILE)] ?? 0,
  }

  function resampledRatio(): number {
    const resampledIndexes = numerators.map(() =>
      Math.floor(random() * numerators.length),
    )
    return sumAt(numerators, resampledIndexes) / sumAt(denominators, resampledIndexes)
  }
}

function sumAt(values: readonly number[], indexes: readonly number[]): number {
  return indexes.reduce((sum, i) => sum + (values[i] ?? 0), 0)
}
