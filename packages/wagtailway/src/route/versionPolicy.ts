/** Selection of the version, or cascade of versions, that serves a request. */
import type { Candidate, EffectiveClass } from '../config/effective.js'
import type { MeasureEstimate } from '../quality/qualityEstimates.js'
import type { Random } from '../random.js'
import type { AcceptanceRule } from './cascadeAcceptance.js'
import type { Arm } from './cascadeArms.js'

/** Estimates of an arm for one class. */
export interface ArmEstimates {
  readonly quality: MeasureEstimate
  /** Fraction of the requests whose first token is in time. */
  readonly onTime: MeasureEstimate
  /** Fraction of the requests that escalate to the cascade's next step. */
  readonly escalated: MeasureEstimate
}

export interface VersionQuery {
  readonly cls: EffectiveClass
  /** Allowed versions that are not withdrawn. */
  readonly candidates: readonly Candidate[]
  readonly estimate: (arm: Arm) => ArmEstimates
  /** Whether a live backend server offers the version. */
  readonly hasBackend: (candidate: Candidate) => boolean
  /** Acceptance rule of cascades; without one, cascades are not considered. */
  readonly accepts?: AcceptanceRule | undefined
  readonly random: Random
}

/** Versions to run in order; the next one runs only if the previous output was not accepted. */
export interface VersionPlan {
  /** Key under which the plan's evidence is recorded. */
  readonly key: string
  readonly steps: readonly Candidate[]
  /**
   * Decides whether to accept the output of a step other than the last; accepts all if
   * absent.
   */
  readonly accepts?: AcceptanceRule | undefined
  /** Whether the plan is on trial, so that all of its responses should be rated. */
  readonly isTrial?: boolean
}

/** Selects a plan; `undefined` if no version can serve the request. */
export type VersionPolicy = (query: VersionQuery) => VersionPlan | undefined
