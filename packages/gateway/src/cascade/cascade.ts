/**
 * Decides which model a request starts on and whether its answer is good enough.
 *
 * Answers the pattern in which most requests are easy and a few need the largest model:
 * a small model's answer is taken if the model is sure of it, else a larger one is asked.
 * In a burst the larger models' queues grow first; then answers are taken that would
 * otherwise come after the target.
 */

/** Confidence, from 0 to 100, from which an answer of a smaller model is taken. */
export const DEFAULT_LEAST_CONFIDENCE = 60

/** Part of the time to the target that the next model's answer may be expected to take. */
const TARGET_PART = 0.9

export interface CascadeOptions {
  /** @default DEFAULT_LEAST_CONFIDENCE */
  readonly leastConfidence?: number
}

export interface AcceptanceInputs {
  /** Place of the model in the route's list, smallest first. */
  readonly index: number
  readonly modelCount: number
  readonly confidence: number | undefined
  /** Expected time until the next model's first event, in milliseconds. */
  readonly nextExpectedMs: number
  /** Time left to the route's target, in milliseconds. */
  readonly toTargetMs: number
  /** Whether one more send is within the attempts and the budget of repeats. */
  readonly mayRepeat: boolean
}

export type Acceptance =
  'largest_model' | 'sure_enough' | 'no_time_for_next' | 'no_repeat_left' | 'ask_next'

/**
 * Whether an answer is passed on or the next model is asked.
 *
 * @example
 * judgeAnswer(inputs, {}) === 'ask_next'
 */
export function judgeAnswer(inputs: AcceptanceInputs, opts: CascadeOptions): Acceptance {
  const least = opts.leastConfidence ?? DEFAULT_LEAST_CONFIDENCE
  if (inputs.index + 1 >= inputs.modelCount) return 'largest_model'
  if ((inputs.confidence ?? 0) >= least) return 'sure_enough'
  if (!inputs.mayRepeat) return 'no_repeat_left'
  if (inputs.nextExpectedMs > inputs.toTargetMs * TARGET_PART) return 'no_time_for_next'
  return 'ask_next'
}
