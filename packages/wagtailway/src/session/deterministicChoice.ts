/**
 * Choice of a session's version that every node with the same configuration makes
 * alike, for times when no claim can be made.
 *
 * It looks at nothing but the session's key and what is declared: no estimates, no
 * load, no live backend servers, because these differ between nodes.
 */
import type { Candidate, EffectiveConfig, EffectiveClass } from '../config/effective.js'
import { versionKey } from '../config/effective.js'
import { rendezvous } from '../hash.js'

/**
 * The version that a new session gets.
 *
 * Versions under a roll-out are left out unless there are no others; among the rest
 * the session's hash decides between the cheapest that are declared good enough.
 *
 * @example
 * publishedChoice('panel/dossier/s1', cls, usable, effective.rollouts)?.key
 */
export function deterministicChoice(
  sessionKey: string,
  cls: Pick<EffectiveClass, 'quality'>,
  usable: readonly Candidate[],
  rollouts: EffectiveConfig['rollouts'],
): Candidate | undefined {
  const underRollout = new Set(rollouts.map(({ model, to }) => versionKey(model, to)))
  const settled = usable.filter(({ key }) => !underRollout.has(key))
  const known = settled.length > 0 ? settled : usable
  const good = known.filter((c) => c.expectedQuality >= cls.quality.target)
  const chosen = good.length > 0 ? cheapestOf(good) : bestOf(known)
  return rendezvous(sessionKey, chosen, ({ key }) => key)[0]
}

/**
 * Whether every node would choose the same version for a new session, so that its
 * pin may be written later.
 *
 * @example
 * hasOneChoice(usable, effective.rollouts)
 */
export function hasSingleChoice(
  usable: readonly Candidate[],
  rollouts: EffectiveConfig['rollouts'],
): boolean {
  const [only] = usable
  const isOnly = only !== undefined && usable.length === 1
  return isOnly && !rollouts.some(({ model }) => model === only.model)
}

function cheapestOf(candidates: readonly Candidate[]): Candidate[] {
  const lowest = Math.min(...candidates.map((c) => c.completionPrice))
  return candidates.filter((c) => c.completionPrice === lowest)
}

function bestOf(candidates: readonly Candidate[]): Candidate[] {
  const highest = Math.max(...candidates.map((c) => c.expectedQuality))
  return candidates.filter((c) => c.expectedQuality === highest)
}
