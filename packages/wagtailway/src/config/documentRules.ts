/** Rules that look at one document and the grants only. */
import { versionKey } from './effective.js'
import type { Finding } from './findings.js'
import { SYSTEM_OWNER, checkGrants, type GrantKind, type Grants } from './grants.js'
import type { SourcedDocument } from './parseDocument.js'
import { findingAt } from './report.js'

type Path = readonly PropertyKey[]

/** All findings about one document by itself. */
export function checkDocument(sourced: SourcedDocument, grants: Grants): Finding[] {
  if (sourced.document.owner === SYSTEM_OWNER) return checkSystemDocument(sourced)
  return [
    ...checkGrants(sourced),
    ...checkNames(sourced, grants),
    ...checkDuplicates(sourced),
    ...checkRollouts(sourced),
  ]
}

/** The system may only withdraw. */
function checkSystemDocument(sourced: SourcedDocument): Finding[] {
  return Object.entries(sourced.document)
    .filter(([section]) => section !== 'owner' && section !== 'withdrawals')
    .filter(([, declared]) => declared.length > 0)
    .map(([section]) =>
      findingAt(
        sourced,
        'not_granted',
        [section],
        `"${SYSTEM_OWNER}" may only declare withdrawals; use another owner`,
      ),
    )
}

function checkNames(sourced: SourcedDocument, grants: Grants): Finding[] {
  const { document } = sourced
  const check = (kind: GrantKind, name: string, path: Path): Finding[] => {
    if (grants.ownerOf(kind, name) === document.owner) return []
    const hint = `ask the root owner for a grant of ${kind} "${name}"`
    const message = `${document.owner} may not declare "${name}"; ${hint}`
    return [findingAt(sourced, 'not_granted', path, message)]
  }
  return [
    ...document.workspaces.flatMap((w, i) =>
      check('workspaces', w.name, ['workspaces', i, 'name']),
    ),
    ...document.models.flatMap((m, i) => check('models', m.name, ['models', i, 'name'])),
    ...document.services.flatMap((s, i) =>
      check('services', s.name, ['services', i, 'name']),
    ),
    ...document.rollouts.flatMap((r, i) =>
      check('models', r.model, ['rollouts', i, 'model']),
    ),
    ...document.withdrawals.flatMap((w, i) =>
      check('models', w.model, ['withdrawals', i, 'model']),
    ),
    ...document.classes.flatMap((c, i) =>
      check('workspaces', c.workspace, ['classes', i, 'workspace']),
    ),
  ]
}

function checkDuplicates(sourced: SourcedDocument): Finding[] {
  const { workspaces, models, services, classes, rollouts, withdrawals } =
    sourced.document
  const keyHashes = workspaces.flatMap((w) => w.keyHashes)
  return [
    ...repeated(sourced, 'workspaces', workspaces, (w) => w.name),
    ...repeated(sourced, 'models', models, (m) => m.name),
    ...repeated(sourced, 'services', services, (s) => s.name),
    ...repeated(sourced, 'classes', classes, (c) => `${c.workspace}/${c.name}`),
    ...repeated(sourced, 'rollouts', rollouts, (r) => r.model),
    ...repeated(sourced, 'withdrawals', withdrawals, (w) =>
      versionKey(w.model, w.version),
    ),
    ...models.flatMap((model, i) =>
      repeated(sourced, ['models', i, 'versions'], model.versions, (v) => v.name),
    ),
    ...repeated(sourced, 'workspaces', keyHashes, (hash) => hash),
  ]
}

function repeated<T>(
  sourced: SourcedDocument,
  section: string | Path,
  items: readonly T[],
  keyOf: (item: T) => string,
): Finding[] {
  const base = typeof section === 'string' ? [section] : section
  const seen = new Set<string>()
  return items.flatMap((item, i) => {
    const key = keyOf(item)
    if (!seen.has(key)) {
      seen.add(key)
      return []
    }
    const message = `"${key}" stands twice; remove one`
    return [findingAt(sourced, 'duplicate', [...base, i], message)]
  })
}

function checkRollouts(sourced: SourcedDocument): Finding[] {
  return sourced.document.rollouts.flatMap((rollout, i) => {
    if (rollout.from !== rollout.to) return []
    const message = `a roll-out leads from one version to another, not to itself`
    return [findingAt(sourced, 'conflicting', ['rollouts', i, 'to'], message)]
  })
}
