/** Billing records of one incarnation, collected and stored in groups. */
import type { ObjectStore } from '../platform/objectStore.js'
import type { BillingRecord, LedgerEntry } from './billingRecord.js'
import { SlotLog } from './slotLog.js'

export interface LedgerOptions {
  readonly store: ObjectStore
  /** Name of the log; unique for each run of each node. */
  readonly incarnation: string
  /**
   * Number of pending records from which {@link Ledger.hasRoom} is false; records pile up
   * while the platform is unavailable.
   * @default 150_000
   */
  readonly maxPending?: number
}

/** Maximum number of records passed to one append to the log. */
const MAX_APPEND_RECORDS = 2_000

/**
 * Collects records and stores them in groups.
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

  /** Number of records not yet known to be stored. */
  get pendingCount(): number {
    return this.#pending.size
  }

  /**
   * Whether a new request may be accepted; its record must fit among the pending ones.
   */
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

  /**
   * Adds a record; returns the pending entry unchanged if there is one for this request
   * id.
   */
  add(record: BillingRecord): LedgerEntry {
    const existing = this.#pending.get(record.requestId)
    if (existing) return existing
    const entry = { record, seq: this.#nextSeq, fromSlot: this.#log.nextSlot }
    this.#nextSeq += 1
    this.#pending.set(record.requestId, entry)
    return entry
  }

  /**
   * Writes the pending records to the next free slots. Concurrent calls share one flush,
   * so that no slot is skipped.
   *
   * @returns Request ids of the records that this flush stored or found stored.
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
      const ids = await this.#log.append(this.#oldestRecords())
      if (ids === undefined) break
      for (const id of ids) {
        if (this.#pending.delete(id)) stored.push(id)
      }
    }
    return stored
  }

  #oldestRecords(): BillingRecord[] {
    const records: BillingRecord[] = []
    for (const { record } of this.#pending.values()) {
      if (records.length >= MAX_APPEND_RECORDS) break
      records.push(record)
    }
    return records
  }
}
