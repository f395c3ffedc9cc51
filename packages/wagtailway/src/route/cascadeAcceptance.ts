/** Rules by which a cascade accepts the answer of a step that is not its last. */
import type { Candidate } from '../config/effective.js'

/** Whether an answer is good enough to be the final one. */
export type AcceptanceRule = (candidate: Candidate, text: string) => boolean

/** Shortest text that can be an answer, in characters. */
const MIN_ANSWER_LENGTH = 1

/**
 * Accepts any answer with text in it.
 *
 * @example
 * acceptNonEmpty(candidate, ' ') // false
 */
export const acceptNonEmpty: AcceptanceRule = (_candidate, text) =>
  text.trim().length >= MIN_ANSWER_LENGTH

/**
 * Accepts answers that a scoring function finds good enough.
 *
 * @param score Gives a score in [0, 1] without calling anything remote.
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
