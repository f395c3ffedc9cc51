/**
 * Copies of other incarnations' billing records, retained until their owner has stored
 * them, or until nothing was received from the owner for so long that this node stores
 * them itself.
 */
import type { Clock } from '../clock.js'
import type { ObjectStore } from '../platform/objectStore.js'
import type { LedgerEntry } from './billingRecord.js'
import { recoverRecords } from './recoverRecords.js'

/** Message from an owner to the nodes that retain copies of its records. */
export interface CopyBatch {
  /** Incarnation that owns the records. */
  readonly incarnation: string
  readonly entries: readonly LedgerEntry[]
  /** Records with lower sequence numbers are stored and may be dropped. */
  readonly storedBelow: number
}

export interface CopyStoreOptions {
  readonly store: ObjectStore
  /** Incarnation of this node. */
  readonly self: string
  /** Monotonic clock. */
  readonly clock: Clock
  /**
   * Time without a message from an owner after which its records are recovered, in
   * milliseconds.
   * @default 10_000
   */
  readonly recoverAfterMs?: number
  /**
   * Maximum number of copies retained; a batch that would exceed it is rejected.
   * @default 300_000
   */
  readonly maxCopies?: number
}

interface CopiedLog {
  readonly entries: Map<number, LedgerEntry>
  storedBelow: number
  receivedAtMs: number
}

/**
 * Time for which an empty log is retained after the last message of its owner, so that
 * late copies of stored records are recognised, in milliseconds.
 */
const EMPTY_LOG_RETENTION_MS = 60_000

/**
 * Retains copies of billing records and recovers them.
 *
 * @example
 * const copies = CopyStore.create({ store, self: 'n2-4', clock })
 * copies.receive({ incarnation: 'n1-17', entries, storedBelow: 0 })
 * await copies.recover()
 */
export class CopyStore {
  readonly #logs = new Map<string, CopiedLog>()
  #count = 0

  private constructor(private readonly opts: CopyStoreOptions) {}

  static create(opts: CopyStoreOptions): CopyStore {
    return new CopyStore(opts)
  }

  /** Number of copies retained. */
  get count(): number {
    return this.#count
  }

  /** All retained copies, to be sent to another node. */
  batches(): CopyBatch[] {
    return [...this.#logs]
      .filter(([, log]) => log.entries.size > 0)
      .map(([incarnation, log]) => ({
        incarnation,
        entries: [...log.entries.values()],
        storedBelow: log.storedBelow,
      }))
  }

  /**
   * Drops copies that their owner has stored and adds the batch's copies; returns false, and
   * adds none of them, if there is no room for all.
   */
  receive(batch: CopyBatch): boolean {
    const log = this.#logOf(batch.incarnation)
    log.receivedAtMs = this.opts.clock()
    this.#dropBelow(log, batch.storedBelow)
    if (this.#count + batch.entries.length > (this.opts.maxCopies ?? 300_000)) {
      return false
    }
    for (const entry of batch.entries) this.#add(log, entry)
    return true
  }

  /**
   * Stores the records of owners that sent nothing for the recovery time; returns the number
   * of records stored.
   */
  async recover(): Promise<number> {
    const nowMs = this.opts.clock()
    let recovered = 0
    for (const [incarnation, log] of this.#logs) {
      const inactiveMs = nowMs - log.receivedAtMs
      if (log.entries.size === 0 && inactiveMs > EMPTY_LOG_RETENTION_MS) {
        this.#logs.delete(incarnation)
      }
      const isDue = inactiveMs >= (this.opts.recoverAfterMs ?? 10_000)
      if (isDue && log.entries.size > 0) {
        recovered += await this.#recoverLog(incarnation, log)
      }
    }
    return recovered
  }

  async #recoverLog(incarnation: string, log: CopiedLog): Promise<number> {
    const entries = [...log.entries.values()]
    const { store, self: writer } = this.opts
    if (!(await recoverRecords({ store, incarnation, writer, entries }))) return 0
    for (const { seq } of entries) this.#drop(log, seq)
    return entries.length
  }

  #logOf(incarnation: string): CopiedLog {
    const known = this.#logs.get(incarnation)
    if (known) return known
    const log = {
      entries: new Map<number, LedgerEntry>(),
      storedBelow: 0,
      receivedAtMs: 0,
    }
    this.#logs.set(incarnation, log)
    return log
  }

  #add(log: CopiedLog, entry: LedgerEntry): void {
    if (entry.seq < log.storedBelow || log.entries.has(entry.seq)) return
    log.entries.set(entry.seq, entry)
    this.#count += 1
  }

  #dropBelow(log: CopiedLog, storedBelow: number): void {
    if (storedBelow <= log.storedBelow) return
    log.storedBelow = storedBelow
    for (const seq of log.entries.keys()) {
      if (seq < log.storedBelow) this.#drop(log, seq)
    }
  }

  #drop(log: CopiedLog, seq: number): void {
    if (log.entries.delete(seq)) this.#count -= 1
  }
}
