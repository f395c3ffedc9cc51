/** Billing records of one incarnation, gathered and stored in groups. */
import type { ObjectStore } from '../platform/objectStore.js'
import type { BillingRecord, LedgerEntry } from './billingRecord.js'
import { SlotLog } from './slotLog.js'

export interface LedgerOptions {
  readonly store: ObjectStore
  /** Names the log: unique for each run of each node. */
  readonly incarnation: string
  /**
   * Records kept while the platform is away; more are refused.
   * @default 150_000
   */
  readonly maxPending?: number
}

/** Records looked at for one slot. */
const MAX_GROUP = 2_000

/**
 * Gathers records and stores them in groups.
 *
 * @example
 * const ledger = Ledger.create({ store, incarnation: 'n1-1733240000' })
 * ledger.add(record)
 * await ledger.flush()
 */
export class Ledger {
  readonly #pending = new Map<string, LedgerEntry>()
  readonly #log: SlotLog
  #nextSeq = 0
  #flushing: Promise<string[]> | undefined

  private constructor(private readonly opts: LedgerOptions) {
    const { store, incarnation } = opts
    this.#log = SlotLog.create({ store, incarnation, writer: incarnation, fromSlot: 0 })
  }

  static create(opts: LedgerOptions): Ledger {
    return new Ledger(opts)
  }

  /** Records not yet known to be stored. */
  get pendingCount(): number {
    return this.#pending.size
  }

  /** Whether a request may still be taken on. */
  get hasRoom(): boolean {
    return this.#pending.size < (this.opts.maxPending ?? 150_000)
  }

  /** Every record whose sequence number is lower is stored. */
  get storedBelow(): number {
    const [oldest] = this.#pending.values()
    return oldest?.seq ?? this.#nextSeq
  }

  /** Entries not yet known to be stored, oldest first. */
  pending(): LedgerEntry[] {
    return [...this.#pending.values()]
  }

  /** Adds a record; a repeated request id changes nothing. */
  add(record: BillingRecord): LedgerEntry {
    const known = this.#pending.get(record.requestId)
    if (known) return known
    const entry = { record, seq: this.#nextSeq, fromSlot: this.#log.nextSlot }
    this.#nextSeq += 1
    this.#pending.set(record.requestId, entry)
    return entry
  }

  /**
   * Writes what is pending into the next free slots. A flush that is under way is
   * shared, so that no slot is left out.
   *
   * @returns Ids of the requests whose records are stored now.
   */
  flush(): Promise<string[]> {
    this.#flushing ??= this.#flush().finally(() => {
      this.#flushing = undefined
    })
    return this.#flushing
  }

  async #flush(): Promise<string[]> {
    const stored: string[] = []
    while (this.#pending.size > 0) {
      const ids = await this.#log.append(this.#firstRecords())
      if (ids === undefined) break
      for (const id of ids) {
        if (this.#pending.delete(id)) stored.push(id)
      }
    }
    return stored
  }

  #firstRecords(): BillingRecord[] {
    const records: BillingRecord[] = []
    for (const { record } of this.#pending.values()) {
      if (records.length >= MAX_GROUP) break
      records.push(record)
    }
    return records
  }
}
