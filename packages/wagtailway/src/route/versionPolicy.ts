/** Choice of the version that answers a request. */
import type { Candidate, EffectiveClass } from '../config/effective.js'
import type { QualityEstimate } from '../quality/qualityEstimates.js'
import type { Random } from '../random.js'

export interface VersionQuery {
  readonly cls: EffectiveClass
  /** Allowed versions that are not withdrawn. */
  readonly candidates: readonly Candidate[]
  readonly estimate: (candidate: Candidate) => QualityEstimate
  /** Whether a live backend server offers the version. */
  readonly hasBackend: (candidate: Candidate) => boolean
  readonly random: Random
}

/** Versions to try in turn: the next answers only if the one before was not good enough. */
export interface VersionPlan {
  readonly steps: readonly Candidate[]
  /** Whether the answer of a step that is not the last is good enough; always if absent. */
  readonly accepts?: (candidate: Candidate, text: string) => boolean
}

/** Chooses a plan; `undefined` if no version can serve. */
export type VersionPolicy = (query: VersionQuery) => VersionPlan | undefined

/**
 * Takes the cheapest version whose estimated quality meets the target, else the best one.
 *
 * @example
 * cheapestMeetingTarget(query)?.steps[0]?.key // 'summariser@small'
 */
export const cheapestMeetingTarget: VersionPolicy = (query) => {
  const served = query.candidates.filter(query.hasBackend)
  const good = served.filter(
    (candidate) => query.estimate(candidate).mean >= query.cls.quality.target,
  )
  const chosen = cheapest(good) ?? best(served, query.estimate)
  return chosen && { steps: [chosen] }
}

/** The candidate with the lowest price of generated tokens; ties go to the first key. */
export function cheapest(candidates: readonly Candidate[]): Candidate | undefined {
  return candidates.toSorted(
    (a, b) => a.completionPrice - b.completionPrice || compareKeys(a, b),
  )[0]
}

function best(
  candidates: readonly Candidate[],
  estimate: (candidate: Candidate) => QualityEstimate,
): Candidate | undefined {
  return candidates.toSorted(
    (a, b) => estimate(b).mean - estimate(a).mean || compareKeys(a, b),
  )[0]
}

function compareKeys(a: Candidate, b: Candidate): number {
  return a.key < b.key ? -1 : 1
}
