/**
 * Deterministic choice of a session's version, for times when no claim can be made. Every
 * node with the same configuration chooses the same version.
 *
 * The choice depends only on the session key and the declarations. Estimates, load and
 * live backend servers are left out, because they differ between nodes.
 */
import type { Candidate, EffectiveConfig, EffectiveClass } from '../config/effective.js'
import { versionKey } from '../config/effective.js'
import { rendezvous } from '../hash.js'

/**
 * The version that a new session gets.
 *
 * Versions under a rollout are excluded unless there are no others. Of the rest, those with
 * the lowest completion price whose declared quality meets the class's target are
 * candidates, or those with the highest declared quality if none meets it. Rendezvous
 * hashing of the session key selects one candidate.
 *
 * @example
 * deterministicChoice('panel/dossier/s1', cls, usable, effective.rollouts)?.key
 */
export function deterministicChoice(
  sessionKey: string,
  cls: Pick<EffectiveClass, 'quality'>,
  usable: readonly Candidate[],
  rollouts: EffectiveConfig['rollouts'],
): Candidate | undefined {
  const underRollout = new Set(rollouts.map(({ model, to }) => versionKey(model, to)))
  const outsideRollouts = usable.filter(({ key }) => !underRollout.has(key))
  const eligible = outsideRollouts.length > 0 ? outsideRollouts : usable
  const meetingTarget = eligible.filter((c) => c.expectedQuality >= cls.quality.target)
  const selectable =
    meetingTarget.length > 0 ? cheapestOf(meetingTarget) : bestOf(eligible)
  return rendezvous(sessionKey, selectable, ({ key }) => key)[0]
}

/**
 * Whether every node must choose the same version for a new session, so that its pin may
 * be written later: only one version is usable and its model isn't under a rollout.
 *
 * @example
 * hasSingleChoice(usable, effective.rollouts)
 */
export function hasSingleChoice(
  usable: readonly Candidate[],
  rollouts: EffectiveConfig['rollouts'],
): boolean {
  const [first] = usable
  const isSingle = first !== undefined && usable.length === 1
  return isSingle && !rollouts.some(({ model }) => model === first.model)
}

function cheapestOf(candidates: readonly Candidate[]): Candidate[] {
  const lowest = Math.min(...candidates.map((c) => c.completionPrice))
  return candidates.filter((c) => c.completionPrice === lowest)
}

function bestOf(candidates: readonly Candidate[]): Candidate[] {
  const highest = Math.max(...candidates.map((c) => c.expectedQuality))
  return candidates.filter((c) => c.expectedQuality === highest)
}
