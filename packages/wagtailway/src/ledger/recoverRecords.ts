/** Stores the records of an incarnation in its log when it no longer does so itself. */
import type { ObjectStore } from '../platform/objectStore.js'
import type { LedgerEntry } from './billingRecord.js'
import { SlotLog } from './slotLog.js'

export interface RecoverOptions {
  readonly store: ObjectStore
  /** Incarnation that owns the records. */
  readonly incarnation: string
  /** Incarnation that recovers them. */
  readonly writer: string
  readonly entries: readonly LedgerEntry[]
}

/**
 * Ensures that records are stored in the log of their incarnation. Several nodes may do
 * this at the same time, and the incarnation itself may still be alive.
 *
 * @returns Whether all of them are stored now; false if the platform is unavailable.
 *
 * @example
 * await recoverRecords({ store, incarnation: 'n1-17', writer: 'n2-4', entries })
 */
export async function recoverRecords(opts: RecoverOptions): Promise<boolean> {
  const missing = new Map(opts.entries.map(({ record }) => [record.requestId, record]))
  const fromSlot = Math.min(...opts.entries.map((entry) => entry.fromSlot))
  const log = SlotLog.create({ ...opts, fromSlot })
  const found = await log.readToEnd()
  if (found === undefined) return false
  for (const id of found) missing.delete(id)
  while (missing.size > 0) {
    const ids = await log.append([...missing.values()])
    if (ids === undefined) return false
    for (const id of ids) missing.delete(id)
  }
  return true
}
