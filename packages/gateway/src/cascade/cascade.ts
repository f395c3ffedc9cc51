/**
 * Decides which model a request starts on and whether its answer is good enough.
 *
 * Answers the pattern in which most requests are easy and a few need the largest model:
 * a small model's answer is taken if the model is sure of it, else a larger one is asked.
 * In a burst the larger models' queues grow first; then answers are taken that would
 * otherwise come after the target.
 */

/** Confidence, from 0 to 100, from which an answer of a smaller model is taken. */
export const DEFAULT_LEAST_CONFIDENCE = 40

/**
 * Part of the time to the target that the next model's first event may be expected to
 * take, by priority: less urgent requests leave a filling queue to the urgent ones.
 */
const TARGET_PARTS = [1, 0.5, 0.3] as const

/**
 * Part of the budget of repeats that larger models leave to others, by priority: to
 * requests whose server failed, as those end without an answer, and to more urgent ones.
 * At 0.9 repeats a request a tenth of them is one for eleven requests, more than fail
 * when one server of twelve is lost.
 */
const KEPT_PARTS = [0.1, 0.2, 0.35] as const

export interface CascadeOptions {
  /**
   * Least confidence by priority of the route, the most urgent first; the last one counts
   * for all further priorities.
   * @default [DEFAULT_LEAST_CONFIDENCE]
   */
  readonly leastConfidence?: readonly number[]
  /**
   * Which models a request is tried on: each in turn, or only the smallest and the largest.
   * @default 'all'
   */
  readonly path?: 'all' | 'ends'
}

/**
 * Models of a route that requests are tried on, in this order.
 *
 * @example
 * cascadeModels(['s', 'm', 'l'], { path: 'ends' }) // ['s', 'l']
 */
export function cascadeModels(
  models: readonly string[],
  { path }: CascadeOptions,
): readonly string[] {
  if (path !== 'ends' || models.length < 3) return models
  return models.filter((_, i) => i === 0 || i === models.length - 1)
}

export interface AcceptanceInputs {
  /** Priority of the route, zero for the most urgent. */
  readonly priority: number
  /** Place of the model in the route's list, smallest first. */
  readonly modelIndex: number
  readonly modelCount: number
  readonly confidence: number | undefined
  /** Expected time until the next model's first event, in milliseconds. */
  readonly nextExpectedMs: number
  /** Time left to the route's target, in milliseconds. */
  readonly toTargetMs: number
  /** Whether the route allows that one more server runs the request. */
  readonly hasAttemptsLeft: boolean
  /** Part of the window's budget of repeats that is still there, from 0 to 1. */
  readonly retryBudgetLeft: number
}

export type Acceptance =
  'largest_model' | 'sure_enough' | 'no_time_for_next' | 'no_repeat_left' | 'ask_next'

/**
 * Whether an answer is passed on or the next model is asked.
 *
 * @example
 * judgeAnswer(inputs, {}) === 'ask_next'
 */
export function judgeCompletion(
  inputs: AcceptanceInputs,
  opts: CascadeOptions,
): Acceptance {
  const byPriority = opts.leastConfidence ?? [DEFAULT_LEAST_CONFIDENCE]
  const least = byPriority[inputs.priority] ?? byPriority.at(-1) ?? 0
  if (inputs.modelIndex + 1 >= inputs.modelCount) return 'largest_model'
  if ((inputs.confidence ?? 0) >= least) return 'sure_enough'
  const kept = KEPT_PARTS[inputs.priority] ?? KEPT_PARTS[2]
  if (!inputs.hasAttemptsLeft || inputs.retryBudgetLeft <= kept) return 'no_repeat_left'
  const part = TARGET_PARTS[inputs.priority] ?? TARGET_PARTS[2]
  if (inputs.nextExpectedMs > inputs.toTargetMs * part) return 'no_time_for_next'
  return 'ask_next'
}
