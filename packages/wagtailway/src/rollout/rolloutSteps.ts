/** Pure decisions on a rollout: its share of the traffic and its next change of state. */
import { lowerBound, upperBound } from '../quality/scoreEstimate.js'
import type { ClassEvidence } from './rolloutEvidence.js'
import { isOpen, type RolloutState } from './rolloutState.js'

export interface RolloutRules {
  /**
   * Fraction of the traffic in each stage.
   * @default [0.02, 0.1, 0.3, 0.6]
   */
  readonly shares: readonly number[]
  /**
   * Maximum probability of withdrawing a good version, over all of its classes.
   * @default 0.002
   */
  readonly falseAlarmProbability: number
  /**
   * Wealth against the floor from which the version is suspect: a promoted version gets
   * less traffic and a running rollout isn't raised until the evidence clears it.
   * @default 4
   */
  readonly suspectWealth: number
  /**
   * Number of standard errors by which the recent quality must be below the floor for the
   * version to be suspect.
   * @default 1.3
   */
  readonly suspectErrors: number
  /**
   * Number of recent responses from which a version without any recent rating is suspect.
   * @default 50
   */
  readonly unratedExposure: number
  /**
   * Fraction of the traffic for a promoted version while it is suspect.
   * @default 0.05
   */
  readonly suspectShare: number
  /**
   * Responses allowed before the first rating.
   * @default 20
   */
  readonly initialExposure: number
  /**
   * Further responses allowed for each rating received.
   * @default 2
   */
  readonly exposurePerRating: number
  /**
   * Ratings needed in a stage, over all classes, before the next stage or the promotion.
   * @default 30
   */
  readonly stageRatings: number
  /**
   * The next stage starts only if the lower 95 % confidence bound of the stage's quality is
   * at most this far below the floor, for each class with responses.
   * @default 0.05
   */
  readonly stageTolerance: number
  /**
   * Like `stageTolerance`, for the promotion after the last stage.
   * @default 0.03
   */
  readonly promotionTolerance: number
}

export const DEFAULT_ROLLOUT_RULES: RolloutRules = {
  shares: [0.02, 0.1, 0.3, 0.6],
  falseAlarmProbability: 0.002,
  suspectWealth: 4,
  suspectErrors: 1.3,
  unratedExposure: 50,
  suspectShare: 0.05,
  initialExposure: 20,
  exposurePerRating: 2,
  stageRatings: 30,
  stageTolerance: 0.05,
  promotionTolerance: 0.03,
}

/**
 * All responses of a promoted version are rated while its recent quality is less than this
 * above a floor.
 */
const FULL_RATING_MARGIN = 0.04

/** A change of state that is due. */
export type RolloutStep =
  | { readonly type: 'withdraw'; readonly classKey: string; readonly reason: string }
  | { readonly type: 'raise'; readonly reason: string }
  | { readonly type: 'promote'; readonly reason: string }

/**
 * The change of state that the evidence calls for.
 *
 * Any node may withdraw; only the lease holder may raise or promote.
 *
 * @example
 * nextStep(state, evidence)?.type // 'withdraw'
 */
export function nextStep(
  state: RolloutState,
  evidence: readonly ClassEvidence[],
  rules: RolloutRules = DEFAULT_ROLLOUT_RULES,
): RolloutStep | undefined {
  if (!isOpen(state)) return undefined
  const failing = evidence.find(({ wealth }) => wealth >= alarmWealth(evidence, rules))
  if (failing) return withdrawal(failing)
  if (state.phase !== 'running' || isSuspect(state, evidence, rules)) return undefined
  const isLast = state.stage >= rules.shares.length - 1
  const tolerance = isLast ? rules.promotionTolerance : rules.stageTolerance
  if (!meetsFloors(state, evidence, tolerance, rules)) return undefined
  const reason = `quality is shown within ${tolerance} of each floor`
  return { type: isLast ? 'promote' : 'raise', reason }
}

/**
 * Fraction of the traffic that the new version may get now.
 *
 * While the rollout runs, ratings raise the number of responses allowed: when no more
 * ratings arrive, the new version gets no more requests.
 *
 * @example
 * shareOf(state, evidence) // 0.02
 */
export function shareOf(
  state: RolloutState,
  evidence: readonly ClassEvidence[],
  rules: RolloutRules = DEFAULT_ROLLOUT_RULES,
): number {
  if (!isOpen(state)) return 0
  if (state.phase === 'promoted') {
    return isSuspect(state, evidence, rules) ? rules.suspectShare : 1
  }
  const exposed = sum(evidence, (e) => e.exposed)
  const rated = sum(evidence, (e) => e.rated)
  const allowed = rules.initialExposure + rules.exposurePerRating * rated
  if (exposed >= Math.min(allowed, state.exposureBudget)) return 0
  return rules.shares[state.stage] ?? 0
}

/**
 * Whether the version is suspect. Suspicion ends when the evidence clears the version, so
 * it needs less evidence than a withdrawal, which is final.
 */
export function isSuspect(
  state: RolloutState,
  evidence: readonly ClassEvidence[],
  rules: RolloutRules = DEFAULT_ROLLOUT_RULES,
): boolean {
  const isQualitySuspect = evidence.some(
    ({ wealth, classKey, recent }) =>
      wealth >= rules.suspectWealth ||
      upperBound(recent, rules.suspectErrors) < (state.floors[classKey] ?? 0),
  )
  const recentExposed = sum(evidence, (e) => e.recentExposed)
  const isUnrated =
    recentExposed >= rules.unratedExposure && sum(evidence, (e) => e.recent.count) === 0
  return isQualitySuspect || isUnrated
}

/**
 * Whether every response should be rated: before the promotion, while the version is
 * suspect, and while its recent quality is close to a floor.
 */
export function needsAllRatings(
  state: RolloutState,
  evidence: readonly ClassEvidence[],
  rules: RolloutRules = DEFAULT_ROLLOUT_RULES,
): boolean {
  if (state.phase === 'running') return true
  if (state.phase !== 'promoted') return false
  const isClose = evidence.some(
    ({ classKey, recent }) =>
      recent.count > 0 &&
      recent.mean < (state.floors[classKey] ?? 0) + FULL_RATING_MARGIN,
  )
  return isClose || isSuspect(state, evidence, rules)
}

/** Returns the state after a step. */
export function applyStep(
  state: RolloutState,
  step: RolloutStep,
  epoch: number,
  by: string,
): RolloutState {
  const { reason } = step
  switch (step.type) {
    case 'withdraw':
      return { ...state, phase: 'withdrawn', reason, by }
    case 'promote':
      return { ...state, phase: 'promoted', reason, by }
    case 'raise':
      return { ...state, stage: state.stage + 1, stageEpoch: epoch + 1, reason, by }
  }
}

/** Wealth that withdraws the version; all classes share the false alarm probability. */
function alarmWealth(evidence: readonly ClassEvidence[], rules: RolloutRules): number {
  return Math.max(1, evidence.length) / rules.falseAlarmProbability
}

function withdrawal({ classKey, exposed, rated }: ClassEvidence): RolloutStep {
  const reason = `quality for ${classKey} is below its floor, shown by ${rated} ratings of ${exposed} answers`
  return { type: 'withdraw', classKey, reason }
}

/**
 * Whether the stage has enough ratings and each class with responses meets its floor within
 * the tolerance.
 */
function meetsFloors(
  state: RolloutState,
  evidence: readonly ClassEvidence[],
  tolerance: number,
  rules: RolloutRules,
): boolean {
  const ratings = sum(evidence, ({ stage }) => stage.count)
  if (ratings < rules.stageRatings) return false
  return evidence
    .filter(({ stageExposed }) => stageExposed > 0)
    .every(({ classKey, stage }) => {
      const floor = state.floors[classKey] ?? 0
      return lowerBound(stage) >= floor - tolerance
    })
}

function sum(
  evidence: readonly ClassEvidence[],
  valueOf: (evidence: ClassEvidence) => number,
): number {
  return evidence.reduce((total, item) => total + valueOf(item), 0)
}
