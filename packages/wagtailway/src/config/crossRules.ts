/** Rules across documents: references, removals of what other owners use, shared API keys. */
import { createFinding } from './createFinding.js'
import { versionKey, type EffectiveConfig, type EffectiveClass } from './effective.js'
import type { Finding, Severity } from './findings.js'
import type { SourcedDocument } from './parseDocument.js'

/** What one owner contributes to the current pass. */
export interface OwnerPart {
  readonly owner: string
  readonly sourced: SourcedDocument | undefined
  /** Whether the new document is used; otherwise the last accepted declarations are. */
  readonly usesNewDocument: boolean
}

export interface CrossCheckInput {
  readonly parts: ReadonlyMap<string, OwnerPart>
  /** The declarations of all parts, merged. */
  readonly merged: EffectiveConfig
  readonly lastGood: EffectiveConfig
}

/** A reference from a class to something that doesn't exist or isn't offered to it. */
interface DanglingReference {
  readonly cls: EffectiveClass
  readonly rule: 'unknown_reference' | 'not_offered'
  /** Path inside the class. */
  readonly path: readonly PropertyKey[]
  readonly message: string
  /** Kind and name of the model or service, to find the owner who removed it. */
  readonly kind: 'models' | 'services'
  readonly name: string
}

/** Finds removals of what other owners' classes use; the removing owner gets the finding. */
export function checkRemovals(input: CrossCheckInput): Finding[] {
  const knownDangling = new Set(
    findDanglingReferences(input.lastGood).map(keyOfReference),
  )
  return findDanglingReferences(input.merged).flatMap((dangling) => {
    const remover = findRemover(input, dangling)
    if (!remover?.sourced || knownDangling.has(keyOfReference(dangling))) return []
    const { cls, kind, name } = dangling
    const index = remover.sourced.document[kind].findIndex((item) => item.name === name)
    const path = index < 0 ? [kind] : [kind, index]
    const referrer = `class "${cls.workspace}/${cls.name}" of owner "${cls.owner}"`
    const message = `${referrer} still needs what this removes: ${dangling.message}; withdraw the version, or wait until the class has changed`
    return [createFinding(remover.sourced, 'still_referenced', path, message)]
  })
}

/** Finds invalid references, classes with only withdrawn versions, and shared API keys. */
export function checkReferences(input: CrossCheckInput): Finding[] {
  return [
    ...checkDanglingReferences(input),
    ...checkWithdrawnOnly(input),
    ...checkVersionReferences(input),
    ...checkApiKeys(input),
  ]
}

function findRemover(
  input: CrossCheckInput,
  dangling: DanglingReference,
): OwnerPart | undefined {
  const { kind, name, cls } = dangling
  const lastItem = input.lastGood[kind].find((item) => item.name === name)
  const part = lastItem && input.parts.get(lastItem.owner)
  const isRemovedByOther = part?.usesNewDocument === true && part.owner !== cls.owner
  const wasUsable =
    lastItem &&
    !findDanglingReferences(withSingleClass(input.lastGood, cls)).some(
      isSameReference(dangling),
    )
  return isRemovedByOther && wasUsable ? part : undefined
}

/** The configuration reduced to one class, to check that class's references against it. */
function withSingleClass(
  effective: EffectiveConfig,
  cls: EffectiveClass,
): EffectiveConfig {
  return { ...effective, classes: [cls] }
}

function isSameReference(a: DanglingReference): (b: DanglingReference) => boolean {
  return (b) => keyOfReference(a) === keyOfReference(b)
}

function keyOfReference({ cls, path, message }: DanglingReference): string {
  return `${cls.workspace}/${cls.name} ${path.join('.')} ${message}`
}

function findDanglingReferences(effective: EffectiveConfig): DanglingReference[] {
  const models = new Map(effective.models.map((m) => [m.name, m]))
  const services = new Map(effective.services.map((s) => [s.name, s]))
  const references: DanglingReference[] = []
  for (const cls of effective.classes) {
    const { workspace } = cls
    cls.allow.forEach(({ model: name, versions }, j) => {
      const reference = { cls, kind: 'models', name } as const
      const path = ['allow', j, 'model']
      const model = models.get(name)
      if (!model) {
        const message = `no document declares model "${name}"`
        references.push({ ...reference, rule: 'unknown_reference', path, message })
        return
      }
      if (model.offeredTo && !model.offeredTo.includes(workspace)) {
        const message = `model "${name}" is not offered to workspace "${workspace}"`
        references.push({ ...reference, rule: 'not_offered', path, message })
      }
      versions?.forEach((version, k) => {
        if (model.versions.some((v) => v.name === version)) return
        const message = `model "${name}" has no version "${version}"`
        const versionPath = ['allow', j, 'versions', k]
        references.push({
          ...reference,
          rule: 'unknown_reference',
          path: versionPath,
          message,
        })
      })
    })
    cls.services.forEach((name, j) => {
      const reference = { cls, kind: 'services', name, path: ['services', j] } as const
      const service = services.get(name)
      if (!service) {
        const message = `no document declares service "${name}"`
        references.push({ ...reference, rule: 'unknown_reference', message })
      } else if (service.offeredTo && !service.offeredTo.includes(workspace)) {
        const message = `service "${name}" is not offered to workspace "${workspace}"`
        references.push({ ...reference, rule: 'not_offered', message })
      }
    })
  }
  return references
}

function checkDanglingReferences(input: CrossCheckInput): Finding[] {
  return findDanglingReferences(input.merged).flatMap(({ cls, rule, path, message }) => {
    const location = locateClass(input, cls)
    if (!location) return []
    return [createFinding(location.sourced, rule, [...location.path, ...path], message)]
  })
}

/** A class whose allowed versions are all withdrawn can't serve any request. */
function checkWithdrawnOnly(input: CrossCheckInput): Finding[] {
  const withdrawn = withdrawnKeys(input.merged)
  return input.merged.classes.flatMap((cls) => {
    const keys = allowedKeys(input.merged, cls)
    const location = locateClass(input, cls)
    if (!location || keys.length === 0) return []
    if (keys.some((key) => !withdrawn.has(key))) return []
    const message = `every allowed version is withdrawn (${keys.join(', ')}); allow another one`
    const severity = severityOf(isUnchanged(input.lastGood.classes, cls))
    const path = [...location.path, 'allow']
    return [createFinding(location.sourced, 'withdrawn_only', path, message, severity)]
  })
}

/**
 * Rollouts and withdrawals must name existing versions of their model; a rollout must not
 * lead to a withdrawn one.
 */
function checkVersionReferences({ parts, merged, lastGood }: CrossCheckInput): Finding[] {
  const versionKeys = new Set(
    merged.models.flatMap((m) => m.versions.map((v) => versionKey(m.name, v.name))),
  )
  const withdrawn = withdrawnKeys(merged)
  const findings: Finding[] = []
  for (const { sourced, usesNewDocument } of parts.values()) {
    if (!sourced || !usesNewDocument) continue
    const { owner, rollouts, withdrawals } = sourced.document
    const checkVersionExists = (
      model: string,
      version: string,
      path: PropertyKey[],
    ): void => {
      if (versionKeys.has(versionKey(model, version))) return
      const message = `model "${model}" has no version "${version}"`
      findings.push(createFinding(sourced, 'unknown_reference', path, message))
    }
    rollouts.forEach((rollout, i) => {
      checkVersionExists(rollout.model, rollout.from, ['rollouts', i, 'from'])
      checkVersionExists(rollout.model, rollout.to, ['rollouts', i, 'to'])
      const key = versionKey(rollout.model, rollout.to)
      if (!withdrawn.has(key)) return
      const isInForce = isUnchanged(lastGood.rollouts, { ...rollout, owner })
      const message = `${key} is withdrawn; end the roll-out or the withdrawal`
      const path = ['rollouts', i, 'to']
      findings.push(
        createFinding(sourced, 'conflicting', path, message, severityOf(isInForce)),
      )
    })
    withdrawals.forEach((withdrawal, i) => {
      // A withdrawal that was already in force may outlive its version; this does no harm.
      if (isUnchanged(lastGood.withdrawals, { ...withdrawal, owner })) return
      checkVersionExists(withdrawal.model, withdrawal.version, [
        'withdrawals',
        i,
        'version',
      ])
    })
  }
  return findings
}

/** An API key belongs to one workspace; the workspace that had it first keeps it. */
function checkApiKeys({ parts, merged, lastGood }: CrossCheckInput): Finding[] {
  const workspacesByHash = new Map<string, string[]>()
  for (const { name, keyHashes } of merged.workspaces) {
    for (const hash of keyHashes) {
      workspacesByHash.set(hash, [...(workspacesByHash.get(hash) ?? []), name])
    }
  }
  return merged.workspaces.flatMap((workspace) => {
    const { sourced, usesNewDocument } = parts.get(workspace.owner) ?? {}
    if (!sourced || usesNewDocument !== true) return []
    const index = sourced.document.workspaces.findIndex((w) => w.name === workspace.name)
    const lastWorkspace = lastGood.workspaces.find((w) => w.name === workspace.name)
    return workspace.keyHashes.flatMap((hash, k) => {
      const isShared = (workspacesByHash.get(hash) ?? []).length > 1
      if (!isShared || lastWorkspace?.keyHashes.includes(hash) === true) return []
      const message = 'another workspace has this API key; make a new one'
      const path = ['workspaces', index, 'keyHashes', k]
      return [createFinding(sourced, 'duplicate', path, message)]
    })
  })
}

/** Finds a class in its owner's new document, if that document is used. */
function locateClass(
  { parts }: CrossCheckInput,
  cls: EffectiveClass,
): { sourced: SourcedDocument; path: PropertyKey[] } | undefined {
  const { sourced, usesNewDocument } = parts.get(cls.owner) ?? {}
  if (!sourced || usesNewDocument !== true) return undefined
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

/**
 * If an unchanged item was already in force, a later change of another owner caused the
 * contradiction. This is only a warning, as it must not block the owner's other changes.
 */
function severityOf(wasInForce: boolean): Severity {
  return wasInForce ? 'warning' : 'error'
}

function isUnchanged<T>(before: readonly T[], item: T): boolean {
  const text = JSON.stringify(item)
  return before.some((lastDeclared) => JSON.stringify(lastDeclared) === text)
}
