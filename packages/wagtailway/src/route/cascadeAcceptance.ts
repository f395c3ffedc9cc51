/** Rules by which a cascade accepts the output of a step other than its last. */
import type { Candidate } from '../config/effective.js'

/** Returns whether an output is good enough to be the final one. */
export type AcceptanceRule = (candidate: Candidate, text: string) => boolean

/** Minimum length of an accepted output, in characters without surrounding white space. */
const MIN_OUTPUT_LENGTH = 1

/**
 * Accepts any output that is not empty or white space only.
 *
 * @example
 * acceptNonEmpty(candidate, ' ') // false
 */
export const acceptNonEmpty: AcceptanceRule = (_candidate, text) =>
  text.trim().length >= MIN_OUTPUT_LENGTH

/**
 * Accepts outputs that a scoring function rates at `threshold` or above.
 *
 * @param score Returns a score in [0, 1]; runs locally, without remote calls.
 *
 * @example
 * const accepts = acceptScored((text) => (text.includes('total') ? 1 : 0), 0.5)
 */
export function acceptScored(
  score: (text: string, candidate: Candidate) => number,
  threshold: number,
): AcceptanceRule {
  return (candidate, text) => score(text, candidate) >= threshold
}
