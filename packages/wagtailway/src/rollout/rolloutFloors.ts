/** Quality floors below which a new version is withdrawn. */
import type { ConfigIndex } from '../config/configIndex.js'
import { classKey, versionKey } from '../config/effective.js'
import type { DeclaredRollout } from './rolloutRegistry.js'

/**
 * Estimated quality of a version for a class, given the quality that its owner declared.
 */
export type QualityOf = (classKey: string, key: string, expected: number) => number

/**
 * Quality floors of the classes that may use both versions: the class's target, or the
 * quality of the current version where it is below the target.
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
    const current = allowed.find(({ key }) => key === from)
    if (!current || !allowed.some(({ key }) => key === to)) continue
    const key = classKey(cls.workspace, cls.name)
    const quality = qualityOf(key, from, current.expectedQuality)
    floors[key] = Math.min(cls.quality.target, quality)
  }
  return floors
}
