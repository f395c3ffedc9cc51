/**
 * Brings declarations into force through the platform's versioned objects.
 *
 * A declaration is one object an owner. The configuration in force is one more
 * object, written by conditional update, so racing operators can't undo each
 * other's accepted changes.
 */
import { Err, Ok, type Result } from '../result.js'
import {
  CONFIG_OBJECT,
  type ObjectStore,
  type Unavailable,
} from '../platform/objectStore.js'
import { EMPTY_EFFECTIVE, effectiveSchema, type Effective } from './effective.js'
import type { Finding } from './findings.js'
import type { SourcedDocument } from './parseDocument.js'
import { reconcile } from './reconcile.js'
import { documentSchema } from './schema.js'

/** Attempts against racing writers before giving up. */
const MAX_ATTEMPTS = 8

export interface Published {
  /** Revision of the configuration in force. */
  readonly revision: number
  readonly findings: readonly Finding[]
}

export type PublishError = Unavailable | { readonly type: 'contended' }

/**
 * Stores one owner's document, replacing the one before.
 *
 * @example
 * const stored = await storeDeclaration(store, document)
 */
export async function storeDeclaration(
  store: ObjectStore,
  { document }: SourcedDocument,
): Promise<Result<number, PublishError>> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const read = await store.get('declaration', document.owner)
    if (read.err) return read
    if (sameValue(read.val?.value, document)) return Ok(read.val?.revision ?? 0)
    const revision = read.val?.revision ?? 0
    const put = await store.put('declaration', document.owner, document, revision)
    if (put.ok) return Ok(put.val.revision)
  }
  return Err({ type: 'contended' })
}

/**
 * Reconciles all stored declarations and puts the result into force.
 *
 * @example
 * const published = await publish(store)
 * if (published.ok) published.val.revision
 */
export async function publish(
  store: ObjectStore,
): Promise<Result<Published, PublishError>> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const current = await store.get('config', CONFIG_OBJECT)
    if (current.err) return current
    const documents = await loadDeclarations(store)
    if (documents.err) return documents
    const lastGood = parseEffective(current.val?.value)
    const { effective, findings } = reconcile(documents.val, lastGood)
    const revision = current.val?.revision ?? 0
    if (revision > 0 && sameValue(effective, lastGood)) return Ok({ revision, findings })
    const put = await store.put('config', CONFIG_OBJECT, effective, revision)
    if (put.ok) return Ok({ revision: put.val.revision, findings })
  }
  return Err({ type: 'contended' })
}

/** Reads every stored declaration. */
export async function loadDeclarations(
  store: ObjectStore,
): Promise<Result<SourcedDocument[], Unavailable>> {
  const listed = await store.list('declaration', '')
  if (listed.err) return listed
  return Ok(
    listed.val.objects.map(({ name, value }) => ({
      source: `declaration/${name}`,
      document: documentSchema.parse(value),
      lineOf: () => undefined,
    })),
  )
}

function parseEffective(value: unknown): Effective {
  return value === undefined ? EMPTY_EFFECTIVE : effectiveSchema.parse(value)
}

function sameValue(a: unknown, b: unknown): boolean {
  return JSON.stringify(a) === JSON.stringify(b)
}
