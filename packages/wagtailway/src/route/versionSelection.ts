/**
 * The cheapest plan that is shown to meet the class's targets.
 *
 * Requests go to the cheapest arm whose quality bound is above the target; a
 * bounded part of them tries the cheaper arm that promises most, until that one
 * is shown to be good enough or not. Choice and random draw are apart, so that
 * the choice can be kept while nothing changes.
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

export interface VersionChoiceOptions {
  /**
   * Part of the requests that may try an arm that is more likely too bad than good enough.
   * @default 0.05
   */
  readonly doubtfulShare?: number
  /**
   * Part of the requests that may try an arm that is more likely good enough.
   * @default 0.25
   */
  readonly likelyShare?: number
  /**
   * Clock by which choices are kept; without one each request gets a new choice.
   */
  readonly clock?: Clock
  /**
   * How long a choice is kept while the same versions are served, in milliseconds.
   * @default 5_000
   */
  readonly keepMs?: number
}

/** The arm for most requests and the one on trial. */
export interface ArmChoice {
  readonly arm: Arm
  readonly trial: Arm | undefined
  /** Part of the requests that get the arm on trial. */
  readonly trialShare: number
}

/** Part of the requests whose first token must be in time. */
const ON_TIME_TARGET = 0.95

/** Standard errors by which an arm must miss the latency target to be left out. */
const LATE_ERRORS = 1

const DEFAULT_KEEP_MS = 5_000

/** Kept choices beyond which all are made anew. */
const MAX_KEPT = 10_000

const DEFAULT_DOUBTFUL_SHARE = 0.05
const DEFAULT_LIKELY_SHARE = 0.25

interface JudgedArm {
  readonly arm: Arm
  readonly cost: number
  readonly quality: ScoreEstimate
  readonly isShownGood: boolean
  readonly isShownBad: boolean
  readonly isLate: boolean
}

interface KeptChoice {
  readonly choice: ArmChoice | undefined
  readonly untilMs: number
}

/**
 * Creates the policy that serves at the lowest cost shown to meet the targets.
 *
 * @example
 * const policy = cheapestShownGood({ clock: monotonicClock })
 * policy(query)?.steps[0]?.key // 'summariser@small'
 */
export function cheapestMeetingTargets(opts: VersionChoiceOptions = {}): VersionPolicy {
  const kept = new Map<string, KeptChoice>()
  return (query) => {
    const choice = keptChoice(kept, query, opts)
    if (!choice) return undefined
    const { arm, trial, trialShare } = choice
    if (!trial || query.random() >= trialShare) return toPlan(arm, query)
    return { ...toPlan(trial, query), isTrial: true }
  }
}

/** The choice made not long ago for the same class and versions, or else a new one. */
function keptChoice(
  kept: Map<string, KeptChoice>,
  query: VersionQuery,
  opts: VersionChoiceOptions,
): ArmChoice | undefined {
  if (!opts.clock) return chooseArm(query, opts)
  const nowMs = opts.clock()
  const key = choiceKey(query)
  const known = kept.get(key)
  if (known && nowMs < known.untilMs) return known.choice
  const choice = chooseArm(query, opts)
  if (kept.size >= MAX_KEPT) kept.clear()
  kept.set(key, { choice, untilMs: nowMs + (opts.keepMs ?? DEFAULT_KEEP_MS) })
  return choice
}

/** Everything but evidence that a choice depends on. */
function choiceKey({ cls, candidates, hasBackend, accepts }: VersionQuery): string {
  let key = `${cls.workspace}/${cls.name} ${cls.quality.target} ${accepts ? 'c' : 's'}`
  for (const candidate of candidates) {
    if (hasBackend(candidate)) key += ` ${candidate.key}`
  }
  return key
}

/** Chooses without a random draw. */
export function chooseArm(
  query: VersionQuery,
  opts: VersionChoiceOptions = {},
): ArmChoice | undefined {
  const served = query.candidates.filter(query.hasBackend)
  const withCascades = query.accepts !== undefined && !query.cls.sessions
  const judged = armsOf(served, withCascades).map((arm) => judge(arm, query))
  const punctual = judged.filter(({ isLate }) => !isLate)
  const usable = punctual.length > 0 ? punctual : judged
  const chosen = cheapest(usable.filter((j) => j.isShownGood)) ?? best(usable)
  if (!chosen) return undefined
  const trial = mostPromising(usable, chosen, query.cls.quality.target)
  if (!trial) return { arm: chosen.arm, trial: undefined, trialShare: 0 }
  const isLikely = trial.quality.mean >= query.cls.quality.target
  const share = isLikely
    ? (opts.likelyShare ?? DEFAULT_LIKELY_SHARE)
    : (opts.doubtfulShare ?? DEFAULT_DOUBTFUL_SHARE)
  return { arm: chosen.arm, trial: trial.arm, trialShare: share }
}

/** The plan that runs an arm. */
export function toPlan(arm: Arm, query: Pick<VersionQuery, 'accepts'>): VersionPlan {
  return { key: arm.key, steps: arm.steps, accepts: query.accepts }
}

function judge(arm: Arm, query: VersionQuery): JudgedArm {
  const estimates = query.estimate(arm)
  const { target } = query.cls.quality
  const { longTerm: lasting, recent } = estimates.quality
  const isShownBad = upperBound(lasting) < target || upperBound(recent) < target
  return {
    arm,
    cost: armCost(arm, estimates.escalated.longTerm.mean),
    quality: lasting,
    isShownGood: !isShownBad && lowerBound(lasting) >= target,
    isShownBad,
    isLate: isLate(estimates),
  }
}

function isLate({ onTime }: ArmEstimates): boolean {
  return upperBound(onTime.longTerm, LATE_ERRORS) < ON_TIME_TARGET
}

function cheapest(judged: readonly JudgedArm[]): JudgedArm | undefined {
  return judged.toSorted((a, b) => a.cost - b.cost || compareKeys(a, b))[0]
}

/** The arm with the highest quality bound; ties go to the cheaper one. */
function best(judged: readonly JudgedArm[]): JudgedArm | undefined {
  return judged.toSorted(
    (a, b) =>
      Number(a.isShownBad) - Number(b.isShownBad) ||
      lowerBound(b.quality) - lowerBound(a.quality) ||
      a.cost - b.cost ||
      compareKeys(a, b),
  )[0]
}

/** The cheaper arm, not yet shown good or bad, with the largest expected saving. */
function mostPromising(
  judged: readonly JudgedArm[],
  chosen: JudgedArm,
  target: number,
): JudgedArm | undefined {
  const open = judged.filter(
    (j) => j.cost < chosen.cost && !j.isShownBad && !j.isShownGood,
  )
  return open.toSorted((a, b) => saving(b) - saving(a) || compareKeys(a, b))[0]

  function saving(j: JudgedArm): number {
    return (chosen.cost - j.cost) * chanceGood(j.quality, target)
  }
}

/** Chance that the mean is at least `target`, by a logistic approximation of the normal curve. */
function chanceGood(quality: ScoreEstimate, target: number): number {
  const z = (quality.mean - target) / Math.max(quality.error, Number.EPSILON)
  return 1 / (1 + Math.exp(-CONFIDENT_ERRORS * z))
}

function compareKeys(a: JudgedArm, b: JudgedArm): number {
  return a.arm.key < b.arm.key ? -1 : 1
}
