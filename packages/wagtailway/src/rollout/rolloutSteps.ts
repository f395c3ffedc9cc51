/** Pure steps of a roll-out: how much traffic, and which change of state comes next. */
import { lowerBound, upperBound } from '../quality/scoreEstimate.js'
import type { ClassEvidence } from './rolloutEvidence.js'
import { isOpen, type RolloutState } from './rolloutState.js'

export interface RolloutRules {
  /**
   * Shares of the traffic by stage.
   * @default [0.02, 0.1, 0.3, 0.6]
   */
  readonly shares: readonly number[]
  /**
   * Chance of withdrawing a good version, over all of its classes.
   * @default 0.002
   */
  readonly falseAlarm: number
  /**
   * Wealth against the floor at which the share is cut until the doubt is settled.
   * @default 4
   */
  readonly doubtfulWealth: number
  /**
   * Standard errors by which the newest quality of a promoted version must be below
   * its floor to cut the share.
   * @default 1.3
   */
  readonly doubtfulErrors: number
  /**
   * Newest answers of which at least one must have been rated.
   * @default 50
   */
  readonly blindExposed: number
  /**
   * Share of a promoted version while in doubt.
   * @default 0.05
   */
  readonly doubtfulShare: number
  /**
   * Answers allowed before any rating.
   * @default 20
   */
  readonly firstExposed: number
  /**
   * Answers allowed for each rating that has come.
   * @default 2
   */
  readonly exposedPerRating: number
  /**
   * Ratings of a stage before the next one.
   * @default 30
   */
  readonly stageRatings: number
  /**
   * Distance below the floor that a stage's quality may have with 95 % confidence.
   * @default 0.05
   */
  readonly stageTolerance: number
  /**
   * The same for the promotion, after the last stage.
   * @default 0.03
   */
  readonly promotionTolerance: number
}

export const DEFAULT_ROLLOUT_RULES: RolloutRules = {
  shares: [0.02, 0.1, 0.3, 0.6],
  falseAlarm: 0.002,
  doubtfulWealth: 4,
  doubtfulErrors: 1.3,
  blindExposed: 50,
  doubtfulShare: 0.05,
  firstExposed: 20,
  exposedPerRating: 2,
  stageRatings: 30,
  stageTolerance: 0.05,
  promotionTolerance: 0.03,
}

/** Distance above the floor from which all answers are rated. */
const CLOSE_TO_FLOOR = 0.04

/** A change of state that is due. */
export type RolloutStep =
  | { readonly type: 'withdraw'; readonly classKey: string; readonly reason: string }
  | { readonly type: 'raise'; readonly reason: string }
  | { readonly type: 'promote'; readonly reason: string }

/**
 * The change that the evidence calls for.
 *
 * Anybody may withdraw; only one holder may raise or promote.
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
  const bad = evidence.find(({ wealth }) => wealth >= alarmWealth(evidence, rules))
  if (bad) return withdrawal(bad)
  if (state.phase !== 'running' || isDoubtful(state, evidence, rules)) return undefined
  const isLast = state.stage >= rules.shares.length - 1
  const tolerance = isLast ? rules.promotionTolerance : rules.stageTolerance
  if (!isShownGood(state, evidence, tolerance, rules)) return undefined
  const reason = `quality is shown within ${tolerance} of each floor`
  return { type: isLast ? 'promote' : 'raise', reason }
}

/**
 * Part of the traffic that the new version may get now.
 *
 * Answers are paid for by ratings: where ratings stop coming, so do answers.
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
    return isDoubtful(state, evidence, rules) ? rules.doubtfulShare : 1
  }
  const exposed = sum(evidence, (e) => e.exposed)
  const rated = sum(evidence, (e) => e.rated)
  const earned = rules.firstExposed + rules.exposedPerRating * rated
  if (exposed >= Math.min(earned, state.exposureBudget)) return 0
  return rules.shares[state.stage] ?? 0
}

/**
 * Whether there is suspicion, but not enough for a withdrawal.
 *
 * A doubt is taken back when the evidence clears it, so it may be raised sooner.
 */
export function isDoubtful(
  state: RolloutState,
  evidence: readonly ClassEvidence[],
  rules: RolloutRules = DEFAULT_ROLLOUT_RULES,
): boolean {
  const isSuspect = evidence.some(
    ({ wealth, classKey, recent }) =>
      wealth >= rules.doubtfulWealth ||
      upperBound(recent, rules.doubtfulErrors) < (state.floors[classKey] ?? 0),
  )
  const recentExposed = sum(evidence, (e) => e.recentExposed)
  const isBlind =
    recentExposed >= rules.blindExposed && sum(evidence, (e) => e.recent.count) === 0
  return isSuspect || isBlind
}

/**
 * Whether every answer should be rated: before the promotion, in doubt, and while
 * the newest quality is close to a floor.
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
      recent.count > 0 && recent.mean < (state.floors[classKey] ?? 0) + CLOSE_TO_FLOOR,
  )
  return isClose || isDoubtful(state, evidence, rules)
}

/** The state after a step. */
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

function alarmWealth(evidence: readonly ClassEvidence[], rules: RolloutRules): number {
  return Math.max(1, evidence.length) / rules.falseAlarm
}

function withdrawal({ classKey, exposed, rated }: ClassEvidence): RolloutStep {
  const reason = `quality for ${classKey} is below its floor, shown by ${rated} ratings of ${exposed} answers`
  return { type: 'withdraw', classKey, reason }
}

/** Whether the stage has enough ratings, and each class that got answers is good enough. */
function isShownGood(
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
  pick: (evidence: ClassEvidence) => number,
): number {
  return evidence.reduce((total, item) => total + pick(item), 0)
}
