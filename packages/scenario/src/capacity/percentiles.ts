/** Figures of a sample. */

/**
 * The value below which `share` of the sorted sample lies.
 *
 * @example
 * percentile([3, 1, 2], 0.5) // 2
 */
export function percentile(sample: readonly number[], share: number): number {
  const sorted = sample.toSorted((a, b) => a - b)
  const at = Math.ceil(share * sorted.length) - 1
  return sorted[Math.max(0, at)] ?? Number.NaN
}
