/**
 * Billing records of one incarnation, stored in numbered slots.
 *
 * Each slot is an object created only if absent, so the slots of an
 * incarnation form a log that any node can append to but nobody can change.
 * Whoever appends has read every earlier slot and leaves out records that
 * stand there, so a record stands in the log once, whoever wrote it.
 */
import { z } from 'zod'
import type { ObjectStore } from '../platform/objectStore.js'

export const backendCallSchema = z.object({
  versionKey: z.string(),
  backend: z.string(),
  promptTokens: z.number(),
  completionTokens: z.number(),
})

export const billingRecordSchema = z.object({
  requestId: z.string(),
  workspace: z.string(),
  classKey: z.string(),
  calls: z.array(backendCallSchema),
  /** Cost in millionths of the currency unit. */
  costMicros: z.number(),
  /** Milliseconds since the epoch. */
  atMs: z.number(),
})

export const billingSlotSchema = z.object({
  /** Node that wrote the slot; another one than the log's after a recovery. */
  writer: z.string(),
  records: z.array(billingRecordSchema),
})

export type BackendCall = z.infer<typeof backendCallSchema>
export type BillingRecord = z.infer<typeof billingRecordSchema>

export interface LedgerOptions {
  readonly store: ObjectStore
  /** Names the log: unique for each run of each node. */
  readonly incarnation: string
  /**
   * Records kept while the platform is away; more are refused.
   * @default 200_000
   */
  readonly maxPending?: number
}

/** Records in one slot, well under the platform's limit of one megabyte a value. */
const MAX_RECORDS_PER_SLOT = 2_000

/**
 * Gathers records and stores them in groups.
 *
 * @example
 * const ledger = Ledger.create({ store, incarnation: 'n1-1733240000' })
 * ledger.add(record)
 * await ledger.flush()
 */
export class Ledger {
  readonly #pending = new Map<string, BillingRecord>()
  #nextSlot = 0

  private constructor(private readonly opts: LedgerOptions) {}

  static create(opts: LedgerOptions): Ledger {
    return new Ledger(opts)
  }

  /** Records not yet known to be stored. */
  get pendingCount(): number {
    return this.#pending.size
  }

  /** Whether a request may still be taken on. */
  get hasRoom(): boolean {
    return this.#pending.size < (this.opts.maxPending ?? 200_000)
  }

  /** Adds a record; a repeated request id changes nothing. */
  add(record: BillingRecord): void {
    if (!this.#pending.has(record.requestId)) this.#pending.set(record.requestId, record)
  }

  /**
   * Writes what is pending into the next free slot.
   *
   * @returns Ids of the requests whose records are stored now.
   */
  async flush(): Promise<string[]> {
    const stored: string[] = []
    while (this.#pending.size > 0) {
      const records = [...this.#pending.values()].slice(0, MAX_RECORDS_PER_SLOT)
      const slot = slotName(this.opts.incarnation, this.#nextSlot)
      const value = { writer: this.opts.incarnation, records }
      const written = await this.opts.store.put('billing', slot, value, 0)
      if (written.ok) {
        this.#settle(records, stored)
      } else if (!(await this.#adoptSlot(slot, stored))) {
        break
      }
    }
    return stored
  }

  /** Takes over what stands in an occupied slot; false if it can't be read now. */
  async #adoptSlot(slot: string, stored: string[]): Promise<boolean> {
    const read = await this.opts.store.get('billing', slot)
    if (read.err || read.val === undefined) return false
    this.#settle(billingSlotSchema.parse(read.val.value).records, stored)
    return true
  }

  #settle(records: readonly BillingRecord[], stored: string[]): void {
    this.#nextSlot += 1
    for (const { requestId } of records) {
      if (this.#pending.delete(requestId)) stored.push(requestId)
    }
  }
}

/**
 * Name of a slot; names of one incarnation sort in order of their numbers.
 *
 * @example
 * slotName('n1-17', 3) // 'n1-17/00000003'
 */
export function slotName(incarnation: string, slot: number): string {
  return `${incarnation}/${String(slot).padStart(8, '0')}`
}
