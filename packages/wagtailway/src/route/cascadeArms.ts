/** Plans that a class may use: single versions, and cascades of two. */
import type { Candidate } from '../config/effective.js'
import { priorEstimate } from '../quality/qualityEstimates.js'
import type { ArmEstimates } from './versionPolicy.js'

/** One way to answer a request. */
export interface Arm {
  /** Key of the arm's evidence, such as `a@small` or `a@small>a@large`. */
  readonly key: string
  readonly steps: readonly Candidate[]
}

/**
 * Cost of an answer by a version, in the unit of its prices.
 * Only ratios between versions matter for the choice.
 */
export function versionCost(candidate: Candidate): number {
  return candidate.promptPrice + candidate.completionPrice
}

/**
 * Expected cost of an arm: a cascade pays its last step only when it goes up.
 *
 * @param escalation Part of the requests that go up.
 */
export function armCost(arm: Arm, escalation: number): number {
  const [first, second] = arm.steps
  if (!first) return 0
  return versionCost(first) + (second ? escalation * versionCost(second) : 0)
}

/** Quality expected of an arm before any rating: the mean of its steps. */
export function armPrior(arm: Arm): number {
  const sum = arm.steps.reduce((total, { expectedQuality }) => total + expectedQuality, 0)
  return sum / arm.steps.length
}

/** Part of the requests that is taken to be in time before any was measured. */
export const ON_TIME_PRIOR = 1

/** Part of a cascade's requests that is taken to go up before any was seen. */
export const ESCALATION_PRIOR = 0.5

/**
 * What the owners' declarations alone tell of an arm.
 *
 * @example
 * declaredEstimates(arm).quality.lasting.mean
 */
export function declaredEstimates(arm: Arm): ArmEstimates {
  return {
    quality: priorEstimate(armPrior(arm)),
    onTime: priorEstimate(ON_TIME_PRIOR),
    escalated: priorEstimate(ESCALATION_PRIOR),
  }
}

/**
 * Every single version, and every cascade from a cheaper to a dearer one.
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
