/**
 * Model cascade: decides which models a request is tried on and whether a completion is
 * accepted.
 *
 * Handles the load pattern in which most requests are easy and a few need the largest
 * model: a small model's completion is accepted if its confidence is high enough,
 * otherwise the request escalates to a larger model. In a burst the queues of the larger
 * models grow first; completions are then accepted if an escalation would miss the target.
 */

/** Confidence, from 0 to 100, from which a smaller model's completion is accepted. */
export const DEFAULT_LEAST_CONFIDENCE = 40

/**
 * Fraction of the time until the target that the next model's expected time to first
 * byte may take, by priority. Less urgent requests leave a growing queue to urgent ones.
 */
const TARGET_FRACTIONS = [1, 0.5, 0.3] as const

/**
 * Fraction of the retry budget that escalations to a larger model leave unused, by
 * priority. It is reserved for retries after a server failure, without which a request
 * gets no response, and for escalations of more urgent requests. At 0.9 retries per
 * request, a tenth of the budget is one retry per eleven requests, which is more than fail
 * when one of twelve servers is lost.
 */
const RESERVED_FRACTIONS = [0.1, 0.2, 0.35] as const

/**
 * Fraction of the time that the first byte may take which a request that must not run twice
 * may wait for the largest model.
 */
const SINGLE_RUN_WAIT_SHARE = 0.1

export interface CascadeOptions {
  /**
   * Minimum confidence by priority of the route, the most urgent first. The last value
   * applies to all further priorities.
   * @default [DEFAULT_LEAST_CONFIDENCE]
   */
  readonly leastConfidence?: readonly number[]
  /**
   * Models a request is tried on: each in turn, or only the smallest and the largest.
   * @default 'all'
   */
  readonly path?: 'all' | 'ends'
}

/**
 * Models of a route that its requests are tried on, in order.
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

/** What is expected of a model's server. */
export interface ExpectedStart {
  /** Expected time to the first byte, in milliseconds. */
  readonly firstByteMs: number
  /** Part of it that is spent waiting for other requests, in milliseconds. */
  readonly waitMs: number
}

export interface SingleRunInputs {
  /** Priority of the route, zero for the most urgent. */
  readonly priority: number
  /** Each model, smallest first; `undefined` for a model without a server. */
  readonly models: readonly (ExpectedStart | undefined)[]
  /** Time until the route's target, in milliseconds. */
  readonly timeToTargetMs: number
}

/**
 * Index of the model for a request that must not run twice, so that an unsure answer can't
 * be replaced: the largest model that begins in time and has next to no queue, otherwise the
 * smallest.
 *
 * Handles the load pattern in which a burst fills the queues of the large model: requests
 * that would add to them get a small model's answer, as no later decision can relieve them.
 *
 * @example
 * const models = [{ firstByteMs: 20, waitMs: 0 }, { firstByteMs: 300, waitMs: 200 }]
 * selectSingleRunModel({ priority: 0, models, timeToTargetMs: 500 }) // 0
 */
export function selectSingleRunModel(inputs: SingleRunInputs): number {
  const maxMs = inputs.timeToTargetMs * targetFraction(inputs.priority)
  const index = inputs.models.findLastIndex(
    (start) =>
      start !== undefined &&
      start.firstByteMs <= maxMs &&
      start.waitMs <= maxMs * SINGLE_RUN_WAIT_SHARE,
  )
  return Math.max(0, index)
}

function targetFraction(priority: number): number {
  return TARGET_FRACTIONS[priority] ?? TARGET_FRACTIONS[2]
}

export interface AcceptanceInputs {
  /** Priority of the route, zero for the most urgent. */
  readonly priority: number
  /** Index of the model among those the request is tried on, smallest first. */
  readonly modelIndex: number
  readonly modelCount: number
  /** Confidence that the model reported, from 0 to 100. */
  readonly confidence: number | undefined
  /** Expected time to the first byte from the next model, in milliseconds. */
  readonly nextExpectedFirstByteMs: number
  /** Time until the route's target, in milliseconds. */
  readonly timeToTargetMs: number
  /** Whether the rules of the route allow another server to run the request. */
  readonly mayRunAgain: boolean
  /** Remaining fraction of the service's retry budget, from 0 to 1. */
  readonly retryBudgetLeft: number
}

export type Acceptance =
  | 'largest_model'
  | 'sure_enough'
  | 'no_time_for_next'
  | 'no_server_for_next'
  | 'no_repeat_left'
  | 'ask_next'

/**
 * Decides whether a completion is forwarded to the caller or the next model is tried;
 * returns the reason.
 *
 * @example
 * evaluateCompletion(inputs, {}) === 'ask_next'
 */
export function evaluateCompletion(
  inputs: AcceptanceInputs,
  opts: CascadeOptions,
): Acceptance {
  const byPriority = opts.leastConfidence ?? [DEFAULT_LEAST_CONFIDENCE]
  const minConfidence = byPriority[inputs.priority] ?? byPriority.at(-1) ?? 0
  if (inputs.modelIndex + 1 >= inputs.modelCount) return 'largest_model'
  if ((inputs.confidence ?? 0) >= minConfidence) return 'sure_enough'
  const reserved = RESERVED_FRACTIONS[inputs.priority] ?? RESERVED_FRACTIONS[2]
  if (!inputs.mayRunAgain || inputs.retryBudgetLeft <= reserved) return 'no_repeat_left'
  const maxMs = inputs.timeToTargetMs * targetFraction(inputs.priority)
  if (inputs.nextExpectedFirstByteMs > maxMs) return 'no_time_for_next'
  return 'ask_next'
}
