/** Appends records of an incarnation that has ended to its log. */
import type { ObjectStore } from '../platform/objectStore.js'
import type { LedgerEntry } from './billingRecord.js'
import { SlotLog } from './slotLog.js'

export interface RecoverOptions {
  readonly store: ObjectStore
  /** Whose records they are. */
  readonly incarnation: string
  /** Who recovers them. */
  readonly writer: string
  readonly entries: readonly LedgerEntry[]
}

/**
 * Makes sure that records stand in their incarnation's log. Several nodes may do so
 * at once, and the incarnation itself may still be alive.
 *
 * @returns Whether all of them stand there now; false if the platform is away.
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
