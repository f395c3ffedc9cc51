/** Random number sources that are passed to decision logic as an argument. */
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Returns a number in [0, 1). */
export type Random = () => number

const DISTINCT_VALUES = 2 ** 31

/**
 * Creates a source of random numbers with the same sequence for the same seed.
 *
 * @example
 * const random = seededRandom(42)
 * random() // a number in [0, 1)
 */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed)
  return () => uniformInt(generator, 0, DISTINCT_VALUES - 1) / DISTINCT_VALUES
}
