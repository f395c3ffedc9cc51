/**
 * Owners' documents as versioned objects, one object an owner.
 *
 * Every write carries a change id, and the object keeps the last few ids. A writer
 * that lost a confirmation finds its own id there, and a writer that was overtaken
 * doesn't, so nobody overwrites a change that it hasn't seen.
 */
import { z } from 'zod'
import type { ObjectStore, StoredObject, Unavailable } from '../platform/objectStore.js'
import { Err, Ok, type Result } from '../result.js'
import type { Finding } from './findings.js'
import { formatPath, type SourcedDocument } from './parseDocument.js'
import { documentSchema, type DeclarationDocument } from './schema.js'

/** Change ids that an object keeps. */
const KEPT_CHANGES = 16

/** Attempts of one write whose confirmation was lost. */
const MAX_ATTEMPTS = 5

export const declarationSchema = z.object({
  document: z.unknown(),
  /** Ids of the changes that led here, newest first. */
  changes: z.array(z.string()),
})

/** A write that another change has overtaken. */
export interface Overtaken {
  readonly type: 'overtaken'
  readonly owner: string
  /** Revision of the object now. */
  readonly revision: number
  /** The change that stands there. */
  readonly changeId: string
}

export interface StoredDeclarations {
  readonly documents: readonly SourcedDocument[]
  /** Findings about objects that are no declarations. */
  readonly unreadable: readonly Finding[]
  /** Revision of each owner's object. */
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
    const read = readDocument(object)
    if (read.ok) documents.push(read.val)
    else unreadable.push(...read.val)
  }
  const revisions = new Map(listed.val.objects.map((o) => [o.name, o.revision]))
  return Ok({ documents, unreadable, revisions })
}

export interface StoreDeclarationOptions {
  readonly document: DeclarationDocument
  /** Unique id of this change. */
  readonly changeId: string
  /** Revision of the owner's object that the change was made for; zero if there was none. */
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
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const read = await store.get('declaration', owner)
    if (read.err) {
      failure = read.val
      continue
    }
    const revision = read.val?.revision ?? 0
    const changes = changesOf(read.val)
    if (changes.includes(changeId)) return Ok(revision)
    if (revision !== baseRevision) {
      return Err({
        type: 'overtaken',
        owner,
        revision,
        changeId: changes[0] ?? 'unknown',
      })
    }
    const value = { document, changes: [changeId, ...changes].slice(0, KEPT_CHANGES) }
    const put = await store.put('declaration', owner, value, revision)
    if (put.ok) return Ok(put.val.revision)
    if (put.val.type === 'unavailable') failure = put.val
  }
  const message = failure?.message ?? 'the platform kept refusing the write'
  return Err({ type: 'unavailable', message })
}

function changesOf(object: StoredObject | undefined): string[] {
  const parsed = declarationSchema.safeParse(object?.value)
  return parsed.success ? parsed.data.changes : []
}

function readDocument({ name, value }: StoredObject): Result<SourcedDocument, Finding[]> {
  const source = `declaration/${name}`
  const declaration = declarationSchema.safeParse(value)
  const parsed = documentSchema.safeParse(declaration.data?.document)
  const problem = (path: string, message: string): Finding => {
    const place = { source, path }
    return { rule: 'schema', severity: 'error', owner: name, place, message }
  }
  if (!parsed.success) {
    const { issues } = parsed.error
    return Err(issues.map((issue) => problem(formatPath(issue.path), issue.message)))
  }
  if (parsed.data.owner !== name) {
    const message = `the object of "${name}" holds a document of "${parsed.data.owner}"`
    return Err([problem('owner', message)])
  }
  return Ok({ source, document: parsed.data, lineOf: () => undefined })
}
