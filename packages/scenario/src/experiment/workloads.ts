/**
 * Workloads from the playground's declarations, and a synthetic one with nine versions.
 */
import { readFileSync, readdirSync } from 'node:fs'
import { join } from 'node:path'
import {
  ConfigIndex,
  classKey,
  parseDocument,
  reconcile,
  type Candidate,
  type EffectiveClass,
} from '@wagtailway/core'
import { DEMO_DEPLOYMENTS, type DemoDeployment } from '../demo/deployments.js'

export interface WorkloadClass {
  readonly key: string
  readonly cls: EffectiveClass
  readonly candidates: readonly Candidate[]
  /** Request rate relative to the other classes. */
  readonly weight: number
}

/** True quality by version key, which only the rating service knows. */
export type Qualities = Readonly<Record<string, number>>

export interface Workload {
  readonly name: string
  readonly classes: readonly WorkloadClass[]
  readonly qualities: Qualities
}

/**
 * Reads one deployment of the playground.
 *
 * A class that allows only some versions of a model may use all of them here, so that a
 * policy has versions to choose from.
 *
 * @example
 * readWorkload('gebeta').classes.map(({ key }) => key)
 */
export function readWorkload(name: string): Workload {
  const deployment = DEMO_DEPLOYMENTS.find((candidate) => candidate.name === name)
  if (!deployment) throw new Error(`The playground has no deployment named "${name}".`)
  const index = readConfig(deployment.declarations)
  const classes = index.effective.classes
    .filter((cls) => cls.allow.length > 0)
    .map((cls) => toClass(index, cls, deployment))
    .filter(({ weight }) => weight > 0)
  return { name, classes, qualities: deployment.qualities }
}

function readConfig(folder: string): ConfigIndex {
  const files = readdirSync(folder).filter((file) => file.endsWith('.yaml'))
  const documents = files.map((file) => {
    const parsed = parseDocument(file, readFileSync(join(folder, file), 'utf8'))
    if (parsed.err) throw new Error(`${file} has findings.`)
    return parsed.val
  })
  return ConfigIndex.create(1, reconcile(documents).effective)
}

function toClass(
  index: ConfigIndex,
  cls: EffectiveClass,
  deployment: DemoDeployment,
): WorkloadClass {
  const unrestrictedClass = { ...cls, allow: cls.allow.map(({ model }) => ({ model })) }
  const unrestrictedIndex = ConfigIndex.create(1, {
    ...index.effective,
    classes: [unrestrictedClass],
  })
  const spec = deployment.classes.find(
    ({ workspace, className }) => workspace === cls.workspace && className === cls.name,
  )
  return {
    key: classKey(cls.workspace, cls.name),
    cls: unrestrictedClass,
    candidates: unrestrictedIndex.allowedVersions(unrestrictedClass),
    weight: spec?.weight ?? 0,
  }
}

/** Number of versions in the nine-version workload. */
const NINE_VERSION_COUNT = 9

/**
 * Quality targets of its classes, spread out so that the result doesn't depend on the
 * luck of a single arm.
 */
const NINE_VERSION_TARGETS = [0.62, 0.66, 0.7, 0.74, 0.78]

/** Request rate of each of its classes relative to a playground class of weight 1. */
const NINE_VERSION_WEIGHT = 5

/**
 * Classes with different quality targets over nine versions of increasing price and
 * quality.
 *
 * @example
 * nineVersions().classes[0]?.candidates.length // 9
 */
export function nineVersions(): Workload {
  const candidates = Array.from({ length: NINE_VERSION_COUNT }, (_, i) => ({
    model: 'model',
    version: `v${i + 1}`,
    key: `model@v${i + 1}`,
    promptPrice: 0.1 * 1.6 ** i,
    completionPrice: 0.4 * 1.6 ** i,
    expectedQuality: 0.5 + 0.05 * i,
  }))
  const qualities = candidates.map(({ key }, i) => [key, 0.6 + 0.04 * i] as const)
  return {
    name: 'nine',
    classes: NINE_VERSION_TARGETS.map((target) => nineVersionClass(target, candidates)),
    qualities: Object.fromEntries(qualities),
  }
}

function nineVersionClass(
  target: number,
  candidates: readonly Candidate[],
): WorkloadClass {
  const name = `target-${target}`
  const cls: EffectiveClass = {
    owner: 'owner',
    workspace: 'many',
    name,
    allow: [],
    services: [],
    quality: { target },
    latency: { firstTokenMs: 1_000, betweenTokensMs: 43 },
    priority: 5,
    sessions: false,
  }
  return { key: classKey('many', name), cls, candidates, weight: NINE_VERSION_WEIGHT }
}
