/**
 * Publishes the configuration that results from the stored declarations.
 *
 * The configuration in force is one object. It is read before the declarations and then
 * written by a conditional update, so concurrent operators can't undo each other's changes.
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

/** Attempts to publish before giving up, since concurrent writers can make each one fail. */
const MAX_PUBLISH_ATTEMPTS = 8

/** The stored configuration is not valid; it must not be overwritten. */
export interface CorruptConfig {
  readonly type: 'corrupt'
  readonly message: string
}

/** Another writer changed the configuration during the last attempt. */
export interface Contended {
  readonly type: 'contended'
}

export type PublishError = Unavailable | Contended | CorruptConfig

export interface Published {
  /** Revision of the configuration in force. */
  readonly revision: number
  readonly findings: readonly Finding[]
}

/** What the platform stores: the declarations, and the configuration in force. */
export interface ConfigState {
  /** Revision of the configuration in force; zero if there is none. */
  readonly revision: number
  readonly inForce: EffectiveConfig
  readonly stored: StoredDeclarations
}

/** The effects that a change would have. */
export interface Plan {
  readonly state: ConfigState
  readonly effective: EffectiveConfig
  readonly findings: readonly Finding[]
  readonly moves: readonly Move[]
  /** Withdrawn versions, as `model@version`, that would receive new requests again. */
  readonly reinstated: readonly string[]
}

/** Reads the configuration in force, then every declaration. */
export async function readConfigState(
  store: ObjectStore,
): Promise<Result<ConfigState, Unavailable | CorruptConfig>> {
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
 * Computes the configuration that results when the changed documents replace the stored
 * ones of their owners.
 *
 * @example
 * planChange(state, documents).moves.map(formatMove)
 */
export function planChange(
  state: ConfigState,
  changed: readonly SourcedDocument[],
): Plan {
  const changedOwners = new Set(changed.map(({ document }) => document.owner))
  const unchanged = state.stored.documents.filter(
    ({ document }) => !changedOwners.has(document.owner),
  )
  const unreadable = state.stored.unreadable.filter(
    ({ owner }) => !changedOwners.has(owner),
  )
  const documents = [...unchanged, ...changed]
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
 * Reconciles all stored declarations and writes the result as the configuration in force.
 *
 * @example
 * const published = await publish(store)
 * if (published.ok) published.val.revision
 */
export async function publish(
  store: ObjectStore,
): Promise<Result<Published, PublishError>> {
  let unavailable: Unavailable | undefined
  let previousPlan: Plan | undefined
  for (let attempt = 0; attempt < MAX_PUBLISH_ATTEMPTS; attempt++) {
    const state = await readConfigState(store)
    if (state.err) {
      if (state.val.type === 'corrupt') return Err(state.val)
      unavailable = state.val
      continue
    }
    const currentPlan = planChange(state.val, [])
    // An earlier write whose confirmation was lost may have taken effect. Its moves then
    // no longer show in the current plan, but owners must still see them.
    const writtenPlan =
      previousPlan && isEqualJson(previousPlan.effective, state.val.inForce)
        ? previousPlan
        : currentPlan
    const put = await putConfig(store, currentPlan)
    previousPlan = writtenPlan
    if (put.ok) {
      const { moves } = writtenPlan
      await writeStatus(store, { ...currentPlan, moves }, put.val)
      return Ok({ revision: put.val, findings: currentPlan.findings })
    }
    unavailable = put.val.type === 'unavailable' ? put.val : undefined
  }
  return Err(unavailable ?? { type: 'contended' })
}

function reinstatedVersions(before: EffectiveConfig, after: EffectiveConfig): string[] {
  const withdrawnBefore = new Set(
    before.withdrawals.map((w) => versionKey(w.model, w.version)),
  )
  const withdrawnAfter = new Set(
    after.withdrawals.map((w) => versionKey(w.model, w.version)),
  )
  return after.models
    .flatMap((m) => m.versions.map((v) => versionKey(m.name, v.name)))
    .filter((key) => withdrawnBefore.has(key) && !withdrawnAfter.has(key))
}

/** Writes the configuration if it changed; returns the revision in force. */
async function putConfig(
  store: ObjectStore,
  { state, effective }: Plan,
): Promise<Result<number, Unavailable | Contended>> {
  const { revision, inForce } = state
  if (revision > 0 && isEqualJson(effective, inForce)) return Ok(revision)
  const put = await store.put('config', CONFIG_OBJECT, effective, revision)
  if (put.ok) return Ok(put.val.revision)
  return Err(put.val.type === 'unavailable' ? put.val : { type: 'contended' })
}

function parseEffective(value: unknown): Result<EffectiveConfig, CorruptConfig> {
  if (value === undefined) return Ok(EMPTY_CONFIG)
  const parsed = effectiveConfigSchema.safeParse(value)
  if (parsed.success) return Ok(parsed.data)
  const message = `config/${CONFIG_OBJECT} is no configuration: ${parsed.error.message}`
  return Err({ type: 'corrupt', message })
}

function isEqualJson(a: unknown, b: unknown): boolean {
  return JSON.stringify(a) === JSON.stringify(b)
}
