/**
 * Selection of the cheapest plan that meets the class's targets with confidence.
 *
 * Requests go to the cheapest arm whose lower quality bound reaches the target. A
 * limited fraction of them tries the cheaper arm with the largest expected saving,
 * until the evidence shows whether that arm meets the target. The selection is
 * separate from the random draw between the two, so that it can be cached.
 */
import type { Clock } from '../clock.js'
import {
  CONFIDENT_ERRORS,
  lowerBound,
  upperBound,
  type ScoreEstimate,
} from '../quality/scoreEstimate.js'
import { armCost, armsOf, type Arm } from './cascadeArms.js'
import type {
  ArmEstimates,
  VersionPlan,
  VersionPolicy,
  VersionQuery,
} from './versionPolicy.js'

export interface VersionSelectionOptions {
  /**
   * Fraction of the requests that may try an arm whose mean quality is below the target.
   * @default 0.05
   */
  readonly unlikelyShare?: number
  /**
   * Fraction of the requests that may try an arm whose mean quality reaches the target.
   * @default 0.25
   */
  readonly likelyShare?: number
  /**
   * Clock for the expiry of cached selections; without one, every request makes a new selection.
   */
  readonly clock?: Clock
  /**
   * Time for which a selection is cached while the same versions are served, in milliseconds.
   * @default 5_000
   */
  readonly cacheMs?: number
}

/** The arm for most requests, and the one on trial. */
export interface ArmSelection {
  readonly arm: Arm
  readonly trial: Arm | undefined
  /** Fraction of the requests that get the arm on trial. */
  readonly trialShare: number
}

/** Fraction of the requests whose first token must be in time. */
const ON_TIME_TARGET = 0.95

/** Standard errors by which an arm must miss `ON_TIME_TARGET` to be excluded. */
const ON_TIME_ERRORS = 1

const DEFAULT_CACHE_MS = 5_000

/** Maximum number of cached selections; when it is reached, the cache is cleared. */
const MAX_CACHED_SELECTIONS = 10_000

const DEFAULT_UNLIKELY_SHARE = 0.05
const DEFAULT_LIKELY_SHARE = 0.25

interface EvaluatedArm {
  readonly arm: Arm
  readonly cost: number
  readonly quality: ScoreEstimate
  readonly meetsTarget: boolean
  readonly missesTarget: boolean
  readonly isLate: boolean
}

interface CachedSelection {
  readonly selection: ArmSelection | undefined
  readonly expiresAtMs: number
}

/**
 * Creates the policy that selects the cheapest arm that meets the targets with confidence.
 *
 * @example
 * const policy = cheapestMeetingTargets({ clock: monotonicClock })
 * policy(query)?.steps[0]?.key // 'summariser@small'
 */
export function cheapestMeetingTargets(
  opts: VersionSelectionOptions = {},
): VersionPolicy {
  const cache = new Map<string, CachedSelection>()
  return (query) => {
    const selection = cachedSelection(cache, query, opts)
    if (!selection) return undefined
    const { arm, trial, trialShare } = selection
    if (!trial || query.random() >= trialShare) return toPlan(arm, query)
    return { ...toPlan(trial, query), isTrial: true }
  }
}

/** Returns the cached selection for the same class and versions, or makes a new one. */
function cachedSelection(
  cache: Map<string, CachedSelection>,
  query: VersionQuery,
  opts: VersionSelectionOptions,
): ArmSelection | undefined {
  if (!opts.clock) return selectArm(query, opts)
  const nowMs = opts.clock()
  const key = selectionKey(query)
  const cached = cache.get(key)
  if (cached && nowMs < cached.expiresAtMs) return cached.selection
  const selection = selectArm(query, opts)
  if (cache.size >= MAX_CACHED_SELECTIONS) cache.clear()
  cache.set(key, { selection, expiresAtMs: nowMs + (opts.cacheMs ?? DEFAULT_CACHE_MS) })
  return selection
}

/**
 * Cache key: the class, its target, whether cascades are possible and the served versions.
 * Other changes, such as new evidence, take effect when the cached selection expires.
 */
function selectionKey({ cls, candidates, hasBackend, accepts }: VersionQuery): string {
  let key = `${cls.workspace}/${cls.name} ${cls.quality.target} ${accepts ? 'c' : 's'}`
  for (const candidate of candidates) {
    if (hasBackend(candidate)) key += ` ${candidate.key}`
  }
  return key
}

/** Selects the arm for most requests and the one on trial, without a random draw. */
export function selectArm(
  query: VersionQuery,
  opts: VersionSelectionOptions = {},
): ArmSelection | undefined {
  const served = query.candidates.filter(query.hasBackend)
  const withCascades = query.accepts !== undefined && !query.cls.sessions
  const evaluated = armsOf(served, withCascades).map((arm) => evaluateArm(arm, query))
  const onTimeArms = evaluated.filter(({ isLate }) => !isLate)
  const usable = onTimeArms.length > 0 ? onTimeArms : evaluated
  const selected =
    cheapest(usable.filter((evaluatedArm) => evaluatedArm.meetsTarget)) ??
    bestByLowerBound(usable)
  if (!selected) return undefined
  const trial = mostPromising(usable, selected, query.cls.quality.target)
  if (!trial) return { arm: selected.arm, trial: undefined, trialShare: 0 }
  const isLikely = trial.quality.mean >= query.cls.quality.target
  const share = isLikely
    ? (opts.likelyShare ?? DEFAULT_LIKELY_SHARE)
    : (opts.unlikelyShare ?? DEFAULT_UNLIKELY_SHARE)
  return { arm: selected.arm, trial: trial.arm, trialShare: share }
}

/** The plan that runs an arm. */
export function toPlan(arm: Arm, query: Pick<VersionQuery, 'accepts'>): VersionPlan {
  return { key: arm.key, steps: arm.steps, accepts: query.accepts }
}

function evaluateArm(arm: Arm, query: VersionQuery): EvaluatedArm {
  const estimates = query.estimate(arm)
  const { target } = query.cls.quality
  const { longTerm: longTermScore, recent } = estimates.quality
  const missesTarget = upperBound(longTermScore) < target || upperBound(recent) < target
  return {
    arm,
    cost: armCost(arm, estimates.escalated.longTerm.mean),
    quality: longTermScore,
    meetsTarget: !missesTarget && lowerBound(longTermScore) >= target,
    missesTarget,
    isLate: isLate(estimates),
  }
}

function isLate({ onTime }: ArmEstimates): boolean {
  return upperBound(onTime.longTerm, ON_TIME_ERRORS) < ON_TIME_TARGET
}

function cheapest(arms: readonly EvaluatedArm[]): EvaluatedArm | undefined {
  return arms.toSorted((a, b) => a.cost - b.cost || compareKeys(a, b))[0]
}

/** The arm with the highest lower quality bound; those that miss the target come last. */
function bestByLowerBound(arms: readonly EvaluatedArm[]): EvaluatedArm | undefined {
  return arms.toSorted(
    (a, b) =>
      Number(a.missesTarget) - Number(b.missesTarget) ||
      lowerBound(b.quality) - lowerBound(a.quality) ||
      a.cost - b.cost ||
      compareKeys(a, b),
  )[0]
}

/**
 * The cheaper arm, not yet known to meet or miss the target, with the largest expected
 * saving.
 */
function mostPromising(
  arms: readonly EvaluatedArm[],
  selected: EvaluatedArm,
  target: number,
): EvaluatedArm | undefined {
  const undecided = arms.filter(
    (option) =>
      option.cost < selected.cost && !option.missesTarget && !option.meetsTarget,
  )
  return undecided.toSorted((a, b) => saving(b) - saving(a) || compareKeys(a, b))[0]

  function saving(option: EvaluatedArm): number {
    return (selected.cost - option.cost) * probabilityOfMeeting(option.quality, target)
  }
}

/**
 * Probability that the mean is at least `target`; approximates the normal CDF by a
 * logistic curve.
 */
function probabilityOfMeeting(quality: ScoreEstimate, target: number): number {
  const z = (quality.mean - target) / Math.max(quality.error, Number.EPSILON)
  return 1 / (1 + Math.exp(-CONFIDENT_ERRORS * z))
}

function compareKeys(a: EvaluatedArm, b: EvaluatedArm): number {
  return a.arm.key < b.arm.key ? -1 : 1
}
