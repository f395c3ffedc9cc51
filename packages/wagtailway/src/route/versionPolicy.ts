/** Choice of the version, or cascade of versions, that answers a request. */
import type { Candidate, EffectiveClass } from '../config/effective.js'
import type { MeasureEstimate } from '../quality/qualityEstimates.js'
import type { Random } from '../random.js'
import type { AcceptanceRule } from './cascadeAcceptance.js'
import type { Arm } from './cascadeArms.js'

/** What is known of an arm for the class in question. */
export interface ArmEstimates {
  readonly quality: MeasureEstimate
  /** Part of the requests whose first token is in time. */
  readonly onTime: MeasureEstimate
  /** Part of the requests that need the cascade's next step. */
  readonly escalated: MeasureEstimate
}

export interface VersionQuery {
  readonly cls: EffectiveClass
  /** Allowed versions that are not withdrawn. */
  readonly candidates: readonly Candidate[]
  readonly estimate: (arm: Arm) => ArmEstimates
  /** Whether a live backend server offers the version. */
  readonly hasBackend: (candidate: Candidate) => boolean
  /** Rule by which cascades accept; without one there are no cascades. */
  readonly accepts?: AcceptanceRule | undefined
  readonly random: Random
}

/** Versions to try in turn: the next answers only if the one before was not good enough. */
export interface VersionPlan {
  /** Key of the plan's evidence. */
  readonly key: string
  readonly steps: readonly Candidate[]
  /** Whether the answer of a step that is not the last is good enough; always if absent. */
  readonly accepts?: AcceptanceRule | undefined
  /** Whether the plan is on trial, so that all of its answers should be rated. */
  readonly isTrial?: boolean
}

/** Chooses a plan; `undefined` if no version can serve. */
export type VersionPolicy = (query: VersionQuery) => VersionPlan | undefined
