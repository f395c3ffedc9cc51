/** Rules that need only a single document and the grants. */
import { createFinding } from './createFinding.js'
import { versionKey } from './effective.js'
import type { Finding } from './findings.js'
import { SYSTEM_OWNER, checkGrants, type GrantKind, type Grants } from './grants.js'
import type { SourcedDocument } from './parseDocument.js'

type Path = readonly PropertyKey[]

/** Checks one document on its own, without the documents of other owners. */
export function checkDocument(sourced: SourcedDocument, grants: Grants): Finding[] {
  if (sourced.document.owner === SYSTEM_OWNER) return checkSystemDocument(sourced)
  return [
    ...checkGrants(sourced),
    ...checkNameGrants(sourced, grants),
    ...checkDuplicates(sourced),
    ...checkRollouts(sourced),
  ]
}

/** The system owner may declare nothing but withdrawals. */
function checkSystemDocument(sourced: SourcedDocument): Finding[] {
  return Object.entries(sourced.document)
    .filter(([section]) => section !== 'owner' && section !== 'withdrawals')
    .filter(([, declared]) => declared.length > 0)
    .map(([section]) =>
      createFinding(
        sourced,
        'not_granted',
        [section],
        `"${SYSTEM_OWNER}" may only declare withdrawals; use another owner`,
      ),
    )
}

function checkNameGrants(sourced: SourcedDocument, grants: Grants): Finding[] {
  const { document } = sourced
  const checkGrantOf = (kind: GrantKind, name: string, path: Path): Finding[] => {
    if (grants.ownerOf(kind, name) === document.owner) return []
    const hint = `ask the root owner for a grant of ${kind} "${name}"`
    const message = `${document.owner} may not declare "${name}"; ${hint}`
    return [createFinding(sourced, 'not_granted', path, message)]
  }
  return [
    ...document.workspaces.flatMap((w, i) =>
      checkGrantOf('workspaces', w.name, ['workspaces', i, 'name']),
    ),
    ...document.models.flatMap((m, i) =>
      checkGrantOf('models', m.name, ['models', i, 'name']),
    ),
    ...document.services.flatMap((s, i) =>
      checkGrantOf('services', s.name, ['services', i, 'name']),
    ),
    ...document.rollouts.flatMap((r, i) =>
      checkGrantOf('models', r.model, ['rollouts', i, 'model']),
    ),
    ...document.withdrawals.flatMap((w, i) =>
      checkGrantOf('models', w.model, ['withdrawals', i, 'model']),
    ),
    ...document.classes.flatMap((c, i) =>
      checkGrantOf('workspaces', c.workspace, ['classes', i, 'workspace']),
    ),
  ]
}

function checkDuplicates(sourced: SourcedDocument): Finding[] {
  const { workspaces, models, services, classes, rollouts, withdrawals } =
    sourced.document
  const keyHashes = workspaces.flatMap((w) => w.keyHashes)
  return [
    ...findDuplicates(sourced, 'workspaces', workspaces, (w) => w.name),
    ...findDuplicates(sourced, 'models', models, (m) => m.name),
    ...findDuplicates(sourced, 'services', services, (s) => s.name),
    ...findDuplicates(sourced, 'classes', classes, (c) => `${c.workspace}/${c.name}`),
    ...findDuplicates(sourced, 'rollouts', rollouts, (r) => r.model),
    ...findDuplicates(sourced, 'withdrawals', withdrawals, (w) =>
      versionKey(w.model, w.version),
    ),
    ...models.flatMap((model, i) =>
      findDuplicates(sourced, ['models', i, 'versions'], model.versions, (v) => v.name),
    ),
    ...findDuplicates(sourced, 'workspaces', keyHashes, (hash) => hash),
  ]
}

function findDuplicates<T>(
  sourced: SourcedDocument,
  section: string | Path,
  items: readonly T[],
  keyOf: (item: T) => string,
): Finding[] {
  const sectionPath = typeof section === 'string' ? [section] : section
  const seen = new Set<string>()
  return items.flatMap((item, i) => {
    const key = keyOf(item)
    if (!seen.has(key)) {
      seen.add(key)
      return []
    }
    const message = `"${key}" stands twice; remove one`
    return [createFinding(sourced, 'duplicate', [...sectionPath, i], message)]
  })
}

function checkRollouts(sourced: SourcedDocument): Finding[] {
  return sourced.document.rollouts.flatMap((rollout, i) => {
    if (rollout.from !== rollout.to) return []
    const message = `a roll-out leads from one version to another, not to itself`
    return [createFinding(sourced, 'conflicting', ['rollouts', i, 'to'], message)]
  })
}
