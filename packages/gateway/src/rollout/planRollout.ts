/**
 * The steps of a roll-out: a trial by few sessions, growth in the second half of its
 * time, completion once the old version has no work left.
 */

/** Share of the sessions that try a new version, as part of the allowed exposure. */
const TRIAL_PART = 0.6

/** Time after the order at which the trial begins, in milliseconds: all have heard of it. */
const TRIAL_AFTER_MS = 1_500

/** When growth begins, as part of the roll-out's time; sessions may move from half of it. */
const GROWTH_PART = 0.52

/** Share of the first step of growth. */
const FIRST_GROWTH_SHARE = 0.4

/** Time between the two steps of growth, in milliseconds: evidence of load comes in. */
const GROWTH_STEP_MS = 2_200

/** Time before the deadline by which completion is written whatever still runs, in milliseconds. */
const DEADLINE_MARGIN_MS = 2_000

/** Least time on the new version alone before it is completed, in milliseconds. */
const LEAST_ALONE_MS = 2_500

export interface RolloutInputs {
  /** Time since the order, the longest that any entry instance knows of, in milliseconds. */
  readonly elapsedMs: number
  readonly durationMs: number
  /** Share of the sessions on the new version now. */
  readonly share: number
  readonly exposureShare: number
  readonly isBad: boolean
  /** Requests in progress on the old version, at all entry instances. */
  readonly oldRunning: number
}

export type RolloutStep =
  | { readonly type: 'wait' }
  | { readonly type: 'roll_back' }
  | { readonly type: 'complete' }
  | { readonly type: 'grow'; readonly share: number }

const WAIT: RolloutStep = { type: 'wait' }

/**
 * The next step of a roll-out.
 *
 * @example
 * planRollout({ ...inputs, isBad: true }).type // 'roll_back'
 */
export function planRollout(inputs: RolloutInputs): RolloutStep {
  const { elapsedMs, durationMs, share } = inputs
  if (inputs.isBad) return { type: 'roll_back' }
  const growthMs = durationMs * GROWTH_PART
  const allMs = growthMs + GROWTH_STEP_MS
  const target =
    elapsedMs >= allMs
      ? 1
      : elapsedMs >= growthMs
        ? FIRST_GROWTH_SHARE
        : elapsedMs >= TRIAL_AFTER_MS
          ? trialShare(inputs.exposureShare)
          : 0
  if (share < target) return { type: 'grow', share: target }
  if (share < 1) return WAIT
  const isDue = elapsedMs >= durationMs - DEADLINE_MARGIN_MS
  const isDone = inputs.oldRunning === 0 && elapsedMs >= allMs + LEAST_ALONE_MS
  return isDue || isDone ? { type: 'complete' } : WAIT
}

/** Share of the sessions that try a version before it has been judged. */
export function trialShare(exposureShare: number): number {
  return exposureShare * TRIAL_PART
}
