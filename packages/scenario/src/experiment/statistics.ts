/** Means, intervals and ratios over seeds. */
import type { Random } from '@wagtailway/core'

/** An estimate with its 95 % interval. */
export interface Interval {
  readonly mean: number
  readonly low: number
  readonly high: number
}

/** Two-sided 95 % points of Student's t for 1 to 30 degrees of freedom. */
const STUDENT_T = [
  12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179,
  2.16, 2.145, 2.131, 2.12, 2.11, 2.101, 2.093, 2.086, 2.08, 2.074, 2.069, 2.064, 2.06,
  2.056, 2.052, 2.048, 2.045, 2.042,
]
const NORMAL_POINT = 1.96

const RESAMPLES = 2_000
const LOW_POINT = 0.025
const HIGH_POINT = 0.975

export function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

/**
 * Mean with its 95 % interval by Student's t.
 *
 * @example
 * meanInterval([1, 2, 3]).mean // 2
 */
export function meanInterval(values: readonly number[]): Interval {
  const center = mean(values)
  const degrees = values.length - 1
  if (degrees < 1) return { mean: center, low: center, high: center }
  const squares = values.reduce((sum, value) => sum + (value - center) ** 2, 0)
  const error = Math.sqrt(squares / degrees / values.length)
  const half = (STUDENT_T[degrees - 1] ?? NORMAL_POINT) * error
  return { mean: center, low: center - half, high: center + half }
}

/**
 * Ratio of two means over the same seeds, with its 95 % interval by a paired bootstrap.
 *
 * @example
 * ratioInterval([1, 2], [2, 4], seededRandom(1)).mean // 0.5
 */
export function ratioInterval(
  above: readonly number[],
  below: readonly number[],
  random: Random,
): Interval {
  const ratios = Array.from({ length: RESAMPLES }, () => resampledRatio())
  ratios.sort((a, b) => a - b)
  return {
    mean: mean(above) / mean(below),
    low: ratios[Math.floor(RESAMPLES * LOW_POINT)] ?? 0,
    high: ratios[Math.floor(RESAMPLES * HIGH_POINT)] ?? 0,
  }

  function resampledRatio(): number {
    const picks = above.map(() => Math.floor(random() * above.length))
    return sumAt(above, picks) / sumAt(below, picks)
  }
}

function sumAt(values: readonly number[], indexes: readonly number[]): number {
  return indexes.reduce((sum, i) => sum + (values[i] ?? 0), 0)
}
