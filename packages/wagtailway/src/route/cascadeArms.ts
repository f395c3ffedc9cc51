/** The arms that a class may use: single versions, and cascades of two versions. */
import type { Candidate } from '../config/effective.js'
import { priorEstimate } from '../quality/qualityEstimates.js'
import type { ArmEstimates } from './versionPolicy.js'

/** One option for serving a request: a version or a cascade of versions. */
export interface Arm {
  /** Key of the arm's evidence, such as `a@small` or `a@small>a@large`. */
  readonly key: string
  readonly steps: readonly Candidate[]
}

/**
 * Cost of a response of a version, in the unit of its prices.
 * Only ratios between versions matter for the choice.
 */
export function versionCost(candidate: Candidate): number {
  return candidate.promptPrice + candidate.completionPrice
}

/**
 * Expected cost of an arm; a cascade's second step costs only for escalated requests.
 *
 * @param escalationShare Fraction of the requests that escalate to the second step.
 */
export function armCost(arm: Arm, escalationShare: number): number {
  const [first, second] = arm.steps
  if (!first) return 0
  return versionCost(first) + (second ? escalationShare * versionCost(second) : 0)
}

/** Quality expected of an arm before any rating: the mean over its steps. */
export function armPrior(arm: Arm): number {
  const sum = arm.steps.reduce((total, { expectedQuality }) => total + expectedQuality, 0)
  return sum / arm.steps.length
}

/** Assumed fraction of requests with a first token in time, before any data. */
export const ON_TIME_PRIOR = 1

/** Assumed fraction of a cascade's requests that escalate, before any data. */
export const ESCALATION_PRIOR = 0.5

/**
 * Estimates of an arm from the owners' declarations alone.
 *
 * @example
 * declaredEstimates(arm).quality.longTerm.mean
 */
export function declaredEstimates(arm: Arm): ArmEstimates {
  return {
    quality: priorEstimate(armPrior(arm)),
    onTime: priorEstimate(ON_TIME_PRIOR),
    escalated: priorEstimate(ESCALATION_PRIOR),
  }
}

/**
 * All single versions and, if allowed, all cascades from a cheaper to a more expensive one.
 *
 * @example
 * armsOf([small, large], true).map(({ key }) => key) // ['a@small', 'a@large', 'a@small>a@large']
 */
export function armsOf(candidates: readonly Candidate[], withCascades: boolean): Arm[] {
  const singles = candidates.map((candidate) => ({
    key: candidate.key,
    steps: [candidate],
  }))
  if (!withCascades) return singles
  const pairs = candidates.flatMap((first) =>
    candidates
      .filter((second) => versionCost(second) > versionCost(first))
      .map((second) => ({ key: `${first.key}>${second.key}`, steps: [first, second] })),
  )
  return [...singles, ...pairs]
}
