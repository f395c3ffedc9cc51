/**
 * Copies of other incarnations' billing records, kept until their owner has stored
 * them or has been silent for so long that this node stores them itself.
 */
import type { Clock } from '../clock.js'
import type { ObjectStore } from '../platform/objectStore.js'
import type { LedgerEntry } from './billingRecord.js'
import { recoverRecords } from './recoverRecords.js'

/** What an owner tells the nodes that keep its copies. */
export interface CopyBatch {
  /** Whose records they are. */
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
   * Silence of an owner after which its records are recovered, in milliseconds.
   * @default 10_000
   */
  readonly recoverAfterMs?: number
  /**
   * Copies kept; more are not accepted.
   * @default 300_000
   */
  readonly maxCopies?: number
}

interface KeptLog {
  readonly entries: Map<number, LedgerEntry>
  storedBelow: number
  heardAtMs: number
}

/** Time for which an emptied log is remembered, so that late copies are recognised. */
const FORGET_AFTER_MS = 60_000

/**
 * Keeps and recovers copies.
 *
 * @example
 * const keeper = CopyKeeper.create({ store, self: 'n2-4', clock })
 * keeper.receive({ incarnation: 'n1-17', entries, storedBelow: 0 })
 * await keeper.recover()
 */
export class CopyStore {
  readonly #logs = new Map<string, KeptLog>()
  #count = 0

  private constructor(private readonly opts: CopyStoreOptions) {}

  static create(opts: CopyStoreOptions): CopyStore {
    return new CopyStore(opts)
  }

  /** Number of copies kept. */
  get count(): number {
    return this.#count
  }

  /** Everything kept, to be handed to another node. */
  batches(): CopyBatch[] {
    return [...this.#logs]
      .filter(([, log]) => log.entries.size > 0)
      .map(([incarnation, log]) => ({
        incarnation,
        entries: [...log.entries.values()],
        storedBelow: log.storedBelow,
      }))
  }

  /** Takes in copies and drops stored ones; returns false if there is no room. */
  receive(batch: CopyBatch): boolean {
    const log = this.#logOf(batch.incarnation)
    log.heardAtMs = this.opts.clock()
    this.#dropBelow(log, batch.storedBelow)
    if (this.#count + batch.entries.length > (this.opts.maxCopies ?? 300_000)) {
      return false
    }
    for (const entry of batch.entries) this.#keep(log, entry)
    return true
  }

  /** Stores the records of owners that have gone silent; returns how many. */
  async recover(): Promise<number> {
    const nowMs = this.opts.clock()
    let recovered = 0
    for (const [incarnation, log] of this.#logs) {
      const silentMs = nowMs - log.heardAtMs
      if (log.entries.size === 0 && silentMs > FORGET_AFTER_MS) {
        this.#logs.delete(incarnation)
      }
      const isDue = silentMs >= (this.opts.recoverAfterMs ?? 10_000)
      if (isDue && log.entries.size > 0) {
        recovered += await this.#recoverLog(incarnation, log)
      }
    }
    return recovered
  }

  async #recoverLog(incarnation: string, log: KeptLog): Promise<number> {
    const entries = [...log.entries.values()]
    const { store, self: writer } = this.opts
    if (!(await recoverRecords({ store, incarnation, writer, entries }))) return 0
    for (const { seq } of entries) this.#drop(log, seq)
    return entries.length
  }

  #logOf(incarnation: string): KeptLog {
    const known = this.#logs.get(incarnation)
    if (known) return known
    const log = { entries: new Map<number, LedgerEntry>(), storedBelow: 0, heardAtMs: 0 }
    this.#logs.set(incarnation, log)
    return log
  }

  #keep(log: KeptLog, entry: LedgerEntry): void {
    if (entry.seq < log.storedBelow || log.entries.has(entry.seq)) return
    log.entries.set(entry.seq, entry)
    this.#count += 1
  }

  #dropBelow(log: KeptLog, storedBelow: number): void {
    if (storedBelow <= log.storedBelow) return
    log.storedBelow = storedBelow
    for (const seq of log.entries.keys()) {
      if (seq < log.storedBelow) this.#drop(log, seq)
    }
  }

  #drop(log: KeptLog, seq: number): void {
    if (log.entries.delete(seq)) this.#count -= 1
  }
}
