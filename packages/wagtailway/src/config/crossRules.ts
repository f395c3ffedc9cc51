/** Rules across documents: references, removals of what others use, shared keys. */
import { versionKey, type EffectiveConfig, type EffectiveClass } from './effective.js'
import type { Finding, Severity } from './findings.js'
import type { SourcedDocument } from './parseDocument.js'
import { findingAt } from './report.js'

/** What one owner contributes in this round. */
export interface OwnerPart {
  readonly owner: string
  readonly sourced: SourcedDocument | undefined
  /** Whether the new document counts; otherwise what was last in force. */
  readonly isNew: boolean
}

export interface CrossCheck {
  readonly parts: ReadonlyMap<string, OwnerPart>
  /** All parts together. */
  readonly merged: EffectiveConfig
  readonly lastGood: EffectiveConfig
}

/** A reference of a class to something that isn't there. */
interface Dangling {
  readonly cls: EffectiveClass
  readonly rule: 'unknown_reference' | 'not_offered'
  /** Path inside the class. */
  readonly path: readonly PropertyKey[]
  readonly message: string
  /** Name of the model or service, to find who removed it. */
  readonly kind: 'models' | 'services'
  readonly name: string
}

/** Findings about removals; the owner who removed something in use is to blame. */
export function checkRemovals(check: CrossCheck): Finding[] {
  const before = new Set(danglingOf(check.lastGood).map(keyOfDangling))
  return danglingOf(check.merged).flatMap((dangling) => {
    const remover = removerOf(check, dangling)
    if (!remover?.sourced || before.has(keyOfDangling(dangling))) return []
    const { cls, kind, name } = dangling
    const index = remover.sourced.document[kind].findIndex((item) => item.name === name)
    const path = index < 0 ? [kind] : [kind, index]
    const user = `class "${cls.workspace}/${cls.name}" of owner "${cls.owner}"`
    const message = `${user} still needs what this removes: ${dangling.message}; withdraw the version, or wait until the class has changed`
    return [findingAt(remover.sourced, 'still_referenced', path, message)]
  })
}

/** Findings about references, withdrawn versions and shared API keys. */
export function checkReferences(check: CrossCheck): Finding[] {
  return [
    ...checkDangling(check),
    ...checkWithdrawnOnly(check),
    ...checkVersions(check),
    ...checkKeys(check),
  ]
}

function removerOf(check: CrossCheck, dangling: Dangling): OwnerPart | undefined {
  const { kind, name, cls } = dangling
  const held = check.lastGood[kind].find((item) => item.name === name)
  const part = held && check.parts.get(held.owner)
  const removed = part?.isNew === true && part.owner !== cls.owner
  const wasUsable =
    held && !danglingOf(onlyClass(check.lastGood, cls)).some(sameAs(dangling))
  return removed && wasUsable ? part : undefined
}

/** The configuration with one class, to see whether its references held there. */
function onlyClass(effective: EffectiveConfig, cls: EffectiveClass): EffectiveConfig {
  return { ...effective, classes: [cls] }
}

function sameAs(a: Dangling): (b: Dangling) => boolean {
  return (b) => keyOfDangling(a) === keyOfDangling(b)
}

function keyOfDangling({ cls, path, message }: Dangling): string {
  return `${cls.workspace}/${cls.name} ${path.join('.')} ${message}`
}

function danglingOf(effective: EffectiveConfig): Dangling[] {
  const models = new Map(effective.models.map((m) => [m.name, m]))
  const services = new Map(effective.services.map((s) => [s.name, s]))
  const found: Dangling[] = []
  for (const cls of effective.classes) {
    const { workspace } = cls
    cls.allow.forEach(({ model: name, versions }, j) => {
      const at = { cls, kind: 'models', name } as const
      const path = ['allow', j, 'model']
      const model = models.get(name)
      if (!model) {
        const message = `no document declares model "${name}"`
        found.push({ ...at, rule: 'unknown_reference', path, message })
        return
      }
      if (model.offeredTo && !model.offeredTo.includes(workspace)) {
        const message = `model "${name}" is not offered to workspace "${workspace}"`
        found.push({ ...at, rule: 'not_offered', path, message })
      }
      versions?.forEach((version, k) => {
        if (model.versions.some((v) => v.name === version)) return
        const message = `model "${name}" has no version "${version}"`
        const versionPath = ['allow', j, 'versions', k]
        found.push({ ...at, rule: 'unknown_reference', path: versionPath, message })
      })
    })
    cls.services.forEach((name, j) => {
      const at = { cls, kind: 'services', name, path: ['services', j] } as const
      const service = services.get(name)
      if (!service) {
        const message = `no document declares service "${name}"`
        found.push({ ...at, rule: 'unknown_reference', message })
      } else if (service.offeredTo && !service.offeredTo.includes(workspace)) {
        const message = `service "${name}" is not offered to workspace "${workspace}"`
        found.push({ ...at, rule: 'not_offered', message })
      }
    })
  }
  return found
}

function checkDangling(check: CrossCheck): Finding[] {
  return danglingOf(check.merged).flatMap(({ cls, rule, path, message }) => {
    const place = placeOf(check, cls)
    if (!place) return []
    return [findingAt(place.sourced, rule, [...place.path, ...path], message)]
  })
}

/** A class whose every allowed version is withdrawn can serve nobody. */
function checkWithdrawnOnly(check: CrossCheck): Finding[] {
  const withdrawn = withdrawnKeys(check.merged)
  return check.merged.classes.flatMap((cls) => {
    const keys = allowedKeys(check.merged, cls)
    const place = placeOf(check, cls)
    if (!place || keys.length === 0) return []
    if (keys.some((key) => !withdrawn.has(key))) return []
    const message = `every allowed version is withdrawn (${keys.join(', ')}); allow another one`
    const severity = severityOf(isUnchanged(check.lastGood.classes, cls))
    const path = [...place.path, 'allow']
    return [findingAt(place.sourced, 'withdrawn_only', path, message, severity)]
  })
}

/** Roll-outs and withdrawals must name versions of their model. */
function checkVersions({ parts, merged, lastGood }: CrossCheck): Finding[] {
  const known = new Set(
    merged.models.flatMap((m) => m.versions.map((v) => versionKey(m.name, v.name))),
  )
  const withdrawn = withdrawnKeys(merged)
  const findings: Finding[] = []
  for (const { sourced, isNew } of parts.values()) {
    if (!sourced || !isNew) continue
    const { owner, rollouts, withdrawals } = sourced.document
    const unknown = (model: string, version: string, path: PropertyKey[]): void => {
      if (known.has(versionKey(model, version))) return
      const message = `model "${model}" has no version "${version}"`
      findings.push(findingAt(sourced, 'unknown_reference', path, message))
    }
    rollouts.forEach((rollout, i) => {
      unknown(rollout.model, rollout.from, ['rollouts', i, 'from'])
      unknown(rollout.model, rollout.to, ['rollouts', i, 'to'])
      const key = versionKey(rollout.model, rollout.to)
      if (!withdrawn.has(key)) return
      const same = isUnchanged(lastGood.rollouts, { ...rollout, owner })
      const message = `${key} is withdrawn; end the roll-out or the withdrawal`
      const path = ['rollouts', i, 'to']
      findings.push(findingAt(sourced, 'conflicting', path, message, severityOf(same)))
    })
    withdrawals.forEach((withdrawal, i) => {
      // A withdrawal that outlives its version does no harm if it was in force.
      if (isUnchanged(lastGood.withdrawals, { ...withdrawal, owner })) return
      unknown(withdrawal.model, withdrawal.version, ['withdrawals', i, 'version'])
    })
  }
  return findings
}

/** An API key belongs to one workspace; whoever had it first keeps it. */
function checkKeys({ parts, merged, lastGood }: CrossCheck): Finding[] {
  const holders = new Map<string, string[]>()
  for (const { name, keyHashes } of merged.workspaces) {
    for (const hash of keyHashes) {
      holders.set(hash, [...(holders.get(hash) ?? []), name])
    }
  }
  return merged.workspaces.flatMap((workspace) => {
    const { sourced, isNew } = parts.get(workspace.owner) ?? {}
    if (!sourced || isNew !== true) return []
    const index = sourced.document.workspaces.findIndex((w) => w.name === workspace.name)
    const before = lastGood.workspaces.find((w) => w.name === workspace.name)
    return workspace.keyHashes.flatMap((hash, k) => {
      const shared = (holders.get(hash) ?? []).length > 1
      if (!shared || before?.keyHashes.includes(hash) === true) return []
      const message = 'another workspace has this API key; make a new one'
      const path = ['workspaces', index, 'keyHashes', k]
      return [findingAt(sourced, 'duplicate', path, message)]
    })
  })
}

/** Where a class stands in its owner's new document. */
function placeOf(
  { parts }: CrossCheck,
  cls: EffectiveClass,
): { sourced: SourcedDocument; path: PropertyKey[] } | undefined {
  const { sourced, isNew } = parts.get(cls.owner) ?? {}
  if (!sourced || isNew !== true) return undefined
  const index = sourced.document.classes.findIndex(
    (c) => c.workspace === cls.workspace && c.name === cls.name,
  )
  return index < 0 ? undefined : { sourced, path: ['classes', index] }
}

function withdrawnKeys(effective: EffectiveConfig): ReadonlySet<string> {
  return new Set(effective.withdrawals.map((w) => versionKey(w.model, w.version)))
}

function allowedKeys(effective: EffectiveConfig, cls: EffectiveClass): string[] {
  return cls.allow.flatMap((allowance) => {
    const model = effective.models.find(({ name }) => name === allowance.model)
    return (model?.versions ?? [])
      .filter((v) => allowance.versions?.includes(v.name) ?? true)
      .map((v) => versionKey(allowance.model, v.name))
  })
}

/** A contradiction that others brought about later must not hold up an owner's other changes. */
function severityOf(wasInForce: boolean): Severity {
  return wasInForce ? 'warning' : 'error'
}

function isUnchanged<T>(before: readonly T[], item: T): boolean {
  const text = JSON.stringify(item)
  return before.some((other) => JSON.stringify(other) === text)
}
