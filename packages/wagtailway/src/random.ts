/** Random numbers that decision logic takes as an argument. */
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Returns a number in [0, 1). */
export type Random = () => number

const STEPS = 2 ** 31

/**
 * Creates a seeded source of random numbers, the same sequence for the same seed.
 *
 * @example
 * const random = seededRandom(42)
 * random() // a number in [0, 1)
 */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed)
  return () => uniformInt(generator, 0, STEPS - 1) / STEPS
}
