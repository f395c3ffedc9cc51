/**
 * Stores owners' documents as versioned objects, one object per owner.
 *
 * Every write carries a change id, and the object stores the ids of its last changes.
 * A writer whose confirmation was lost finds its own id there. If the id is missing and
 * the revision has changed, another change came first, and the write is rejected, so
 * that no writer overwrites a change it hasn't seen.
 */
import * as z from 'zod'
import type { ObjectStore, StoredObject, Unavailable } from '../platform/objectStore.js'
import { Err, Ok, type Result } from '../result.js'
import type { Finding } from './findings.js'
import { formatPath, type SourcedDocument } from './parseDocument.js'
import { documentSchema, type DeclarationDocument } from './schema.js'

/** Number of change ids stored in an object. */
const MAX_STORED_CHANGE_IDS = 16

/** Attempts of one write before giving up, since its confirmation may be lost. */
const MAX_WRITE_ATTEMPTS = 5

export const declarationSchema = z.object({
  document: z.unknown(),
  /** Ids of the last changes to the object, newest first. */
  changes: z.array(z.string()),
})

/** A write rejected because another change was stored after its base revision. */
export interface Overtaken {
  readonly type: 'overtaken'
  readonly owner: string
  /** Current revision of the object. */
  readonly revision: number
  /** Id of the last change that was stored. */
  readonly changeId: string
}

export interface StoredDeclarations {
  readonly documents: readonly SourcedDocument[]
  /** Findings about objects that hold no valid declaration. */
  readonly unreadable: readonly Finding[]
  /** Revision of each owner's object, by owner. */
  readonly revisions: ReadonlyMap<string, number>
}

/** Reads every stored declaration. */
export async function loadDeclarations(
  store: ObjectStore,
): Promise<Result<StoredDeclarations, Unavailable>> {
  const listed = await store.list('declaration', '')
  if (listed.err) return listed
  const documents: SourcedDocument[] = []
  const unreadable: Finding[] = []
  for (const object of listed.val.objects) {
    const parsedDocument = parseStoredDocument(object)
    if (parsedDocument.ok) documents.push(parsedDocument.val)
    else unreadable.push(...parsedDocument.val)
  }
  const revisions = new Map(listed.val.objects.map((o) => [o.name, o.revision]))
  return Ok({ documents, unreadable, revisions })
}

export interface StoreDeclarationOptions {
  readonly document: DeclarationDocument
  /** Unique id of this change. */
  readonly changeId: string
  /** Revision of the owner's object that the change is based on; zero if there was none. */
  readonly baseRevision: number
}

/**
 * Stores one owner's document in place of the one at `baseRevision`.
 *
 * @example
 * const stored = await storeDeclaration(store, { document, changeId, baseRevision: 0 })
 */
export async function storeDeclaration(
  store: ObjectStore,
  { document, changeId, baseRevision }: StoreDeclarationOptions,
): Promise<Result<number, Unavailable | Overtaken>> {
  const { owner } = document
  let failure: Unavailable | undefined
  for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
    const current = await store.get('declaration', owner)
    if (current.err) {
      failure = current.val
      continue
    }
    const revision = current.val?.revision ?? 0
    const changes = changeIdsOf(current.val)
    if (changes.includes(changeId)) return Ok(revision)
    if (revision !== baseRevision) {
      return Err({
        type: 'overtaken',
        owner,
        revision,
        changeId: changes[0] ?? 'unknown',
      })
    }
    const value = {
      document,
      changes: [changeId, ...changes].slice(0, MAX_STORED_CHANGE_IDS),
    }
    const put = await store.put('declaration', owner, value, revision)
    if (put.ok) return Ok(put.val.revision)
    if (put.val.type === 'unavailable') failure = put.val
  }
  const message = failure?.message ?? 'the platform kept refusing the write'
  return Err({ type: 'unavailable', message })
}

function changeIdsOf(object: StoredObject | undefined): string[] {
  const parsed = declarationSchema.safeParse(object?.value)
  return parsed.success ? parsed.data.changes : []
}

function parseStoredDocument({
  name,
  value,
}: StoredObject): Result<SourcedDocument, Finding[]> {
  const source = `declaration/${name}`
  const declaration = declarationSchema.safeParse(value)
  const parsed = documentSchema.safeParse(declaration.data?.document)
  const schemaFinding = (path: string, message: string): Finding => {
    const place = { source, path }
    return { rule: 'schema', severity: 'error', owner: name, place, message }
  }
  if (!parsed.success) {
    const { issues } = parsed.error
    return Err(
      issues.map((issue) => schemaFinding(formatPath(issue.path), issue.message)),
    )
  }
  if (parsed.data.owner !== name) {
    const message = `the object of "${name}" holds a document of "${parsed.data.owner}"`
    return Err([schemaFinding('owner', message)])
  }
  return Ok({ source, document: parsed.data, lineOf: () => undefined })
}
