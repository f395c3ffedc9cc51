/**
 * Brings stored declarations into force.
 *
 * The configuration in force is one object, written by conditional update after
 * all declarations were read, so racing operators can't undo each other's changes.
 */
import {
  CONFIG_OBJECT,
  type ObjectStore,
  type Unavailable,
} from '../platform/objectStore.js'
import { Err, Ok, type Result } from '../result.js'
import { loadDeclarations, type StoredDeclarations } from './declarations.js'
import {
  EMPTY_CONFIG,
  effectiveConfigSchema,
  versionKey,
  type EffectiveConfig,
} from './effective.js'
import type { Finding } from './findings.js'
import { movesBetween, type Move } from './moves.js'
import type { SourcedDocument } from './parseDocument.js'
import { reconcile } from './reconcile.js'
import { writeStatus } from './status.js'

/** Attempts against racing writers before giving up. */
const MAX_ATTEMPTS = 8

/** The configuration object can't be read; nothing may be written over it. */
export interface Corrupt {
  readonly type: 'corrupt'
  readonly message: string
}

export interface Contended {
  readonly type: 'contended'
}

export type PublishError = Unavailable | Contended | Corrupt

export interface Published {
  /** Revision of the configuration in force. */
  readonly revision: number
  readonly findings: readonly Finding[]
}

/** What the platform holds: declarations, and the configuration made of them. */
export interface ConfigState {
  /** Revision of the configuration in force; zero if there is none. */
  readonly revision: number
  readonly inForce: EffectiveConfig
  readonly stored: StoredDeclarations
}

/** What a change would do. */
export interface Plan {
  readonly state: ConfigState
  readonly effective: EffectiveConfig
  readonly findings: readonly Finding[]
  readonly moves: readonly Move[]
  /** Withdrawn versions, as `model@version`, that would get new requests again. */
  readonly reinstated: readonly string[]
}

/** Reads the configuration in force, then every declaration. */
export async function readConfigState(
  store: ObjectStore,
): Promise<Result<ConfigState, Unavailable | Corrupt>> {
  const current = await store.get('config', CONFIG_OBJECT)
  if (current.err) return current
  const inForce = parseEffective(current.val?.value)
  if (inForce.err) return inForce
  const stored = await loadDeclarations(store)
  if (stored.err) return stored
  return Ok({
    revision: current.val?.revision ?? 0,
    inForce: inForce.val,
    stored: stored.val,
  })
}

/**
 * Works out what the state would become with documents in place of their owners' stored ones.
 *
 * @example
 * planChange(state, documents).moves.map(formatMove)
 */
export function planChange(
  state: ConfigState,
  changed: readonly SourcedDocument[],
): Plan {
  const owners = new Set(changed.map(({ document }) => document.owner))
  const kept = state.stored.documents.filter(
    ({ document }) => !owners.has(document.owner),
  )
  const unreadable = state.stored.unreadable.filter(({ owner }) => !owners.has(owner))
  const documents = [...kept, ...changed]
  const { effective, findings } = reconcile(documents, state.inForce, unreadable)
  return {
    state,
    effective,
    findings,
    moves: movesBetween(state.inForce, effective),
    reinstated: reinstatedVersions(state.inForce, effective),
  }
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
  let unavailable: Unavailable | undefined
  let tried: Plan | undefined
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const state = await readConfigState(store)
    if (state.err) {
      if (state.val.type === 'corrupt') return Err(state.val)
      unavailable = state.val
      continue
    }
    const next = planChange(state.val, [])
    // A write whose confirmation was lost may have taken effect: its moves still count.
    const plan = tried && sameValue(tried.effective, state.val.inForce) ? tried : next
    const put = await putConfig(store, next)
    tried = plan
    if (put.ok) {
      const { moves } = plan
      await writeStatus(store, { ...next, moves }, put.val)
      return Ok({ revision: put.val, findings: next.findings })
    }
    unavailable = put.val.type === 'unavailable' ? put.val : undefined
  }
  return Err(unavailable ?? { type: 'contended' })
}

function reinstatedVersions(before: EffectiveConfig, after: EffectiveConfig): string[] {
  const withdrawn = new Set(before.withdrawals.map((w) => versionKey(w.model, w.version)))
  const still = new Set(after.withdrawals.map((w) => versionKey(w.model, w.version)))
  return after.models
    .flatMap((m) => m.versions.map((v) => versionKey(m.name, v.name)))
    .filter((key) => withdrawn.has(key) && !still.has(key))
}

/** Writes the configuration if it changed; returns the revision in force. */
async function putConfig(
  store: ObjectStore,
  { state, effective }: Plan,
): Promise<Result<number, Unavailable | Contended>> {
  const { revision, inForce } = state
  if (revision > 0 && sameValue(effective, inForce)) return Ok(revision)
  const put = await store.put('config', CONFIG_OBJECT, effective, revision)
  if (put.ok) return Ok(put.val.revision)
  return Err(put.val.type === 'unavailable' ? put.val : { type: 'contended' })
}

function parseEffective(value: unknown): Result<EffectiveConfig, Corrupt> {
  if (value === undefined) return Ok(EMPTY_CONFIG)
  const parsed = effectiveConfigSchema.safeParse(value)
  if (parsed.success) return Ok(parsed.data)
  const message = `config/${CONFIG_OBJECT} is no configuration: ${parsed.error.message}`
  return Err({ type: 'corrupt', message })
}

function sameValue(a: unknown, b: unknown): boolean {
  return JSON.stringify(a) === JSON.stringify(b)
}
