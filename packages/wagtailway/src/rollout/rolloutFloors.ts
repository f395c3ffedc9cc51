/** Quality below which a new version is withdrawn. */
import type { ConfigIndex } from '../config/configIndex.js'
import { classKey, versionKey } from '../config/effective.js'
import type { DeclaredRollout } from './rolloutRegistry.js'

/** Estimated quality of a version for a class, given what its owner expects. */
export type QualityOf = (classKey: string, key: string, expected: number) => number

/**
 * Floors of the classes that may use both versions: the class's target, or the quality
 * of the present version where that one doesn't meet the target either.
 *
 * @example
 * rolloutFloors(index, rollout, qualityOf) // { 'panel/dossier': 0.8 }
 */
export function rolloutFloors(
  index: ConfigIndex,
  rollout: DeclaredRollout,
  qualityOf: QualityOf,
): Record<string, number> {
  const from = versionKey(rollout.model, rollout.from)
  const to = versionKey(rollout.model, rollout.to)
  const floors: Record<string, number> = {}
  for (const cls of index.effective.classes) {
    const allowed = index.allowedVersions(cls)
    const present = allowed.find(({ key }) => key === from)
    if (!present || !allowed.some(({ key }) => key === to)) continue
    const key = classKey(cls.workspace, cls.name)
    const quality = qualityOf(key, from, present.expectedQuality)
    floors[key] = Math.min(cls.quality.target, quality)
  }
  return floors
}
