/**
 * The steps of a rollout: a canary with few sessions, then all sessions, then completion.
 *
 * Limits the harm of a bad version that shows no symptoms until it carries the full load,
 * or none at all. Whatever the canary shows, the requests that reach the new version before
 * the deadline stay within the operator's limit on exposure, so all sessions move as late
 * as that limit allows. Completion can't be undone: it needs a version that is shown to be
 * good, and waits beyond the deadline where too little is known.
 */

import type { VersionVerdict } from './judgeVersion.js'

/**
 * Time after the operator's order at which the canary begins, in milliseconds. By then all
 * entry instances have received the order.
 */
const CANARY_DELAY_MS = 1_500

/** Fraction of the allowed exposure that is planned; the rest covers bursts at the end. */
const EXPOSURE_FRACTION = 0.9

/** Fraction of the planned exposure that the canary uses to tell a bad version early. */
const CANARY_FRACTION = 0.4

/** Smallest share of the sessions in the canary, as a fraction of the exposure share. */
const MIN_CANARY_FRACTION = 0.25

/** Largest share of the sessions in the canary; in it no active session changes its version. */
const MAX_CANARY_SHARE = 0.25

/** Factor by which the canary's share must be too small to be changed again. */
const CANARY_GROWTH_FACTOR = 1.5

const MS_PER_SECOND = 1_000

/** Earliest time at which all sessions may move, as a fraction of the rollout's duration. */
const EARLIEST_FULL_SHIFT_FRACTION = 0.52

/**
 * Time before the deadline at which completion is written even if requests still run on
 * the old version, in milliseconds. An order may be received half a second late, and the
 * first instance that should write may have crashed.
 */
const DEADLINE_MARGIN_MS = 900

/**
 * Time for which all sessions must have used the version before it is completed, in
 * milliseconds: until so many responses have come, within these bounds. A version may be bad
 * only under its full load.
 */
const FULL_SHARE_RESPONSES = 15
const MIN_FULL_SHARE_MS = 500
const MAX_FULL_SHARE_MS = 1_500

/**
 * Time for which a version must have been suspect to be rolled back at its deadline, in
 * milliseconds: a single failure is outweighed within that time if the version is good.
 */
const LASTING_SUSPICION_MS = 2_000

/** Requests that a bad version may get until the deadline of its rollout. */
export interface ExposureLimit {
  /** Share of the service's requests. */
  readonly share: number
  /** Further requests. */
  readonly slack: number
}

export interface RolloutInputs {
  /** Longest time since the order that any entry instance knows of, in milliseconds. */
  readonly elapsedMs: number
  readonly durationMs: number
  /** Current share of the sessions on the new version. */
  readonly share: number
  readonly exposure: ExposureLimit
  /** Requests for the service, from all entry instances; `undefined` if not known yet. */
  readonly requestsPerSecond: number | undefined
  readonly verdict: VersionVerdict
  /** Whether enough is known of the old version to compare the new one with it. */
  readonly hasBaseline: boolean
  /** Time since the version became suspect, in milliseconds; zero if it isn't. */
  readonly suspectForMs: number
  /** Time since all sessions moved to the version, in milliseconds; zero before. */
  readonly fullShareForMs: number
  /** Requests in progress on the old version, from all entry instances. */
  readonly runningOnOldVersion: number
}

export type RolloutStep =
  | { readonly type: 'wait' }
  | { readonly type: 'roll_back' }
  | { readonly type: 'complete' }
  | { readonly type: 'grow'; readonly share: number }

const WAIT: RolloutStep = { type: 'wait' }

/**
 * Returns the next step of a rollout.
 *
 * @example
 * planRollout({ ...inputs, verdict: 'bad' }).type // 'roll_back'
 */
export function planRollout(inputs: RolloutInputs): RolloutStep {
  if (inputs.verdict === 'bad') return { type: 'roll_back' }
  const share = nextShare(inputs)
  if (share !== inputs.share) return { type: 'grow', share }
  return share < 1 ? WAIT : nextStepAtFullShare(inputs)
}

/** Share of the sessions that should use the version now. */
function nextShare(inputs: RolloutInputs): number {
  const { elapsedMs, share, hasBaseline } = inputs
  const { canaryShare, fullShiftMs } = planExposure(inputs)
  // Without requests on the old version there would be nothing to compare with.
  if (share >= 1 || (elapsedMs >= fullShiftMs && hasBaseline)) return 1
  const isCanaryTooSmall = share === 0 || share * CANARY_GROWTH_FACTOR < canaryShare
  return elapsedMs >= CANARY_DELAY_MS && isCanaryTooSmall ? canaryShare : share
}

function nextStepAtFullShare(inputs: RolloutInputs): RolloutStep {
  const { elapsedMs, durationMs, verdict, suspectForMs, fullShareForMs } = inputs
  const isDue = elapsedMs >= durationMs - DEADLINE_MARGIN_MS
  if (verdict === 'suspect') {
    const isLasting = suspectForMs >= LASTING_SUSPICION_MS
    return isDue && isLasting ? { type: 'roll_back' } : WAIT
  }
  // Completing stops the old version for good, so too little is known to do it.
  if (verdict === 'undecided') return WAIT
  const isSeenUnderLoad = fullShareForMs >= minFullShareMs(inputs.requestsPerSecond)
  const isDrained = inputs.runningOnOldVersion === 0
  return isSeenUnderLoad && (isDue || isDrained) ? { type: 'complete' } : WAIT
}

/** How a rollout spends the requests that a bad version may get. */
export interface ExposurePlan {
  /** Share of the sessions in the canary. */
  readonly canaryShare: number
  /** Time after the order at which all sessions move, in milliseconds. */
  readonly fullShiftMs: number
}

/**
 * Plans the canary and the time at which all sessions move, so that the requests until the
 * deadline stay within the limit.
 *
 * @example
 * planExposure({ durationMs: 15_000, exposure: { share: 0.15, slack: 30 }, requestsPerSecond: 16 })
 * // { canaryShare: 0.104, fullShiftMs: 12_896 }
 */
export function planExposure({
  durationMs,
  exposure: { share, slack },
  requestsPerSecond,
}: Pick<RolloutInputs, 'durationMs' | 'exposure' | 'requestsPerSecond'>): ExposurePlan {
  const slackMs = requestsPerSecond ? (slack / requestsPerSecond) * MS_PER_SECOND : 0
  // Time for which all requests may reach the version.
  const plannedMs = EXPOSURE_FRACTION * (durationMs * share + slackMs)
  const canaryMs = Math.max(CANARY_DELAY_MS, durationMs - CANARY_DELAY_MS)
  const canaryShare = Math.min(
    MAX_CANARY_SHARE,
    Math.max(share * MIN_CANARY_FRACTION, (CANARY_FRACTION * plannedMs) / canaryMs),
  )
  const fullShiftMs = Math.max(
    durationMs * EARLIEST_FULL_SHIFT_FRACTION,
    durationMs - plannedMs + canaryMs * canaryShare,
  )
  return { canaryShare, fullShiftMs }
}

/** Time for which all sessions must have used the version, in milliseconds. */
function minFullShareMs(requestsPerSecond = 0): number {
  const responsesMs =
    requestsPerSecond > 0
      ? (FULL_SHARE_RESPONSES / requestsPerSecond) * MS_PER_SECOND
      : MAX_FULL_SHARE_MS
  return Math.min(MAX_FULL_SHARE_MS, Math.max(MIN_FULL_SHARE_MS, responsesMs))
}
