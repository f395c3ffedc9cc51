/**
 * Reconciles the declarations of all owners into one configuration.
 *
 * The result depends only on the set of documents and on the last good
 * configuration, never on the order of the documents. A document with findings
 * counts for nothing; what its owner last had in force stays.
 */
import { EMPTY_EFFECTIVE, type Effective } from './effective.js'
import type { Finding, FindingRule } from './findings.js'
import { formatPath, type SourcedDocument } from './parseDocument.js'
import type { DeclarationDocument, GrantDeclaration } from './schema.js'

/** Owner whose grants say which owner may declare what. */
export const ROOT_OWNER = 'root'

export interface Reconciled {
  readonly effective: Effective
  readonly findings: readonly Finding[]
}

interface Grants {
  readonly workspaces: ReadonlyMap<string, string>
  readonly models: ReadonlyMap<string, string>
  readonly services: ReadonlyMap<string, string>
}

/**
 * Computes the configuration in force.
 *
 * @param documents One document an owner.
 * @param lastGood Configuration in force so far.
 *
 * @example
 * const { effective, findings } = reconcile(documents, EMPTY_EFFECTIVE)
 */
export function reconcile(
  documents: readonly SourcedDocument[],
  lastGood: Effective = EMPTY_EFFECTIVE,
): Reconciled {
  const sorted = documents.toSorted((a, b) =>
    a.document.owner < b.document.owner ? -1 : 1,
  )
  const grants = collectGrants(sorted)
  const findings: Finding[] = []
  const accepted: Effective[] = []
  const rejectedOwners = new Set<string>()
  for (const sourced of sorted) {
    const found = checkDocument(sourced, grants, sorted)
    findings.push(...found)
    if (found.length > 0) rejectedOwners.add(sourced.document.owner)
    else accepted.push(ownedBy(sourced.document))
  }
  accepted.push(onlyOwners(lastGood, rejectedOwners))
  return { effective: merge(accepted), findings }
}

function collectGrants(documents: readonly SourcedDocument[]): Grants {
  const root = documents.find(({ document }) => document.owner === ROOT_OWNER)
  const grants = root?.document.grants ?? []
  return {
    workspaces: ownersOf(grants, (grant) => grant.workspaces),
    models: ownersOf(grants, (grant) => grant.models),
    services: ownersOf(grants, (grant) => grant.services),
  }
}

function ownersOf(
  grants: readonly GrantDeclaration[],
  names: (grant: GrantDeclaration) => readonly string[],
): ReadonlyMap<string, string> {
  return new Map(grants.flatMap((g) => names(g).map((name) => [name, g.owner] as const)))
}

function checkDocument(
  sourced: SourcedDocument,
  grants: Grants,
  all: readonly SourcedDocument[],
): Finding[] {
  const { document } = sourced
  const findings: Finding[] = []
  const report = (rule: FindingRule, path: PropertyKey[], message: string): void => {
    const line = sourced.lineOf(path)
    const at = { source: sourced.source, path: formatPath(path) }
    const place = line === undefined ? at : { ...at, line }
    findings.push({ rule, owner: document.owner, place, message })
  }
  const checkGrant = (kind: keyof Grants, name: string, path: PropertyKey[]): void => {
    if (grants[kind].get(name) === document.owner) return
    const hint = `ask the root owner for a grant of ${kind} "${name}"`
    report('not_granted', path, `${document.owner} may not declare "${name}"; ${hint}`)
  }
  const models = all.flatMap((other) => other.document.models)
  document.workspaces.forEach((w, i) => {
    checkGrant('workspaces', w.name, ['workspaces', i, 'name'])
  })
  document.models.forEach((m, i) => {
    checkGrant('models', m.name, ['models', i, 'name'])
  })
  document.services.forEach((s, i) => {
    checkGrant('services', s.name, ['services', i, 'name'])
  })
  document.rollouts.forEach((r, i) => {
    checkGrant('models', r.model, ['rollouts', i, 'model'])
  })
  document.withdrawals.forEach((w, i) => {
    checkGrant('models', w.model, ['withdrawals', i, 'model'])
  })
  document.classes.forEach((cls, i) => {
    checkGrant('workspaces', cls.workspace, ['classes', i, 'workspace'])
    cls.allow.forEach((allowance, j) => {
      const path = ['classes', i, 'allow', j, 'model']
      const model = models.find(({ name }) => name === allowance.model)
      if (!model) {
        report(
          'unknown_reference',
          path,
          `no document declares model "${allowance.model}"`,
        )
      } else if (model.offeredTo && !model.offeredTo.includes(cls.workspace)) {
        const message = `model "${model.name}" is not offered to workspace "${cls.workspace}"`
        report('not_offered', path, message)
      }
    })
  })
  return findings
}

function ownedBy(document: DeclarationDocument): Effective {
  const { owner } = document
  return {
    workspaces: document.workspaces.map((w) => ({ ...w, owner })),
    models: document.models.map((m) => ({ ...m, owner })),
    services: document.services.map((s) => ({ ...s, owner })),
    classes: document.classes.map((c) => ({ ...c, owner })),
    rollouts: document.rollouts.map((r) => ({ ...r, owner })),
    withdrawals: document.withdrawals.map((w) => ({ ...w, owner })),
  }
}

function onlyOwners(effective: Effective, owners: ReadonlySet<string>): Effective {
  const keep = <T extends { owner: string }>(items: readonly T[]): T[] =>
    items.filter(({ owner }) => owners.has(owner))
  return {
    workspaces: keep(effective.workspaces),
    models: keep(effective.models),
    services: keep(effective.services),
    classes: keep(effective.classes),
    rollouts: keep(effective.rollouts),
    withdrawals: keep(effective.withdrawals),
  }
}

function merge(parts: readonly Effective[]): Effective {
  return {
    workspaces: parts.flatMap((p) => p.workspaces),
    models: parts.flatMap((p) => p.models),
    services: parts.flatMap((p) => p.services),
    classes: parts.flatMap((p) => p.classes),
    rollouts: parts.flatMap((p) => p.rollouts),
    withdrawals: parts.flatMap((p) => p.withdrawals),
  }
}
