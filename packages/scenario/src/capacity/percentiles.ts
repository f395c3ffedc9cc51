/** Percentiles of a sample. */

/**
 * The smallest value of the sample such that at least `share` of the sample is less
 * than or equal to it; NaN for an empty sample.
 *
 * @example
 * percentile([3, 1, 2], 0.5) // 2
 */
export function percentile(sample: readonly number[], share: number): number {
  const sorted = sample.toSorted((a, b) => a - b)
  const index = Math.ceil(share * sorted.length) - 1
  return sorted[Math.max(0, index)] ?? Number.NaN
}
