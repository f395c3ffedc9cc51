/** The classes of both deployments, read from the playground's declarations. */
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
  /** Requests relative to the other classes. */
  readonly weight: number
}

/** True quality of each version, which only the rating service sees. */
export type Qualities = Readonly<Record<string, number>>

export interface Workload {
  readonly name: string
  readonly classes: readonly WorkloadClass[]
  readonly qualities: Qualities
}

/**
 * Reads one deployment of the playground.
 *
 * A class that allows only some versions of a model may use all of them here,
 * so that there is a choice to measure.
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
  const open = { ...cls, allow: cls.allow.map(({ model }) => ({ model })) }
  const widened = ConfigIndex.create(1, { ...index.effective, classes: [open] })
  const spec = deployment.classes.find(
    ({ workspace, className }) => workspace === cls.workspace && className === cls.name,
  )
  return {
    key: classKey(cls.workspace, cls.name),
    cls: open,
    candidates: widened.allowedVersions(open),
    weight: spec?.weight ?? 0,
  }
}

/** Versions of the workload with many of them. */
const VERSION_COUNT = 9

/** Targets of its classes, spread so that no single arm's luck decides. */
const TARGETS = [0.62, 0.66, 0.7, 0.74, 0.78]

/** Requests of one of its classes relative to those of a small class of the playground. */
const MANY_WEIGHT = 5

/**
 * Classes of several targets over nine versions of rising price and quality.
 *
 * @example
 * nineVersions().classes[0]?.candidates.length // 9
 */
export function nineVersions(): Workload {
  const candidates = Array.from({ length: VERSION_COUNT }, (_, i) => ({
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
    classes: TARGETS.map((target) => manyVersionClass(target, candidates)),
    qualities: Object.fromEntries(qualities),
  }
}

function manyVersionClass(
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
  return { key: classKey('many', name), cls, candidates, weight: MANY_WEIGHT }
}
