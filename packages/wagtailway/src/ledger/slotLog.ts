/**
 * The log of one incarnation: numbered slots, each written only if it doesn't exist, so
 * that any node can append to the log but no node can change it.
 *
 * Before a writer appends records, it reads every slot that could hold them and omits
 * those that are stored there, so a record is stored once, whichever node writes it.
 */
import type { ObjectStore } from '../platform/objectStore.js'
import { billingSlotSchema, type BillingRecord } from './billingRecord.js'

/** Maximum number of records in one slot. */
const MAX_RECORDS_PER_SLOT = 2_000

/**
 * Maximum size of a slot in bytes, below the platform's limit of one megabyte per value.
 */
const MAX_SLOT_BYTES = 800_000

export interface SlotLogOptions {
  readonly store: ObjectStore
  /** Incarnation that owns the log. */
  readonly incarnation: string
  /** Incarnation that writes. */
  readonly writer: string
  /** First slot that could hold one of the records to be written. */
  readonly fromSlot: number
}

/**
 * Reads one log and appends to it.
 *
 * @example
 * const log = SlotLog.create({ store, incarnation: 'n1-17', writer: 'n1-17', fromSlot: 0 })
 * await log.append(records)
 */
export class SlotLog {
  #nextSlot: number

  private constructor(private readonly opts: SlotLogOptions) {
    this.#nextSlot = opts.fromSlot
  }

  static create(opts: SlotLogOptions): SlotLog {
    return new SlotLog(opts)
  }

  /** First slot not yet read or written. */
  get nextSlot(): number {
    return this.#nextSlot
  }

  /**
   * Writes as many of the records as fit to the next slot. If the slot was written
   * already, reads its records instead.
   *
   * @returns Request ids of the records stored in the slot; `undefined` if the platform
   *   is unavailable.
   */
  async append(records: readonly BillingRecord[]): Promise<string[] | undefined> {
    const slot = this.#nextSlot
    const group = selectFitting(records)
    const value = { writer: this.opts.writer, records: group }
    const written = await this.opts.store.put('billing', this.#slotName(slot), value, 0)
    if (written.err) {
      const ids = await this.#read(slot)
      return ids === 'free' ? undefined : ids
    }
    this.#nextSlot = slot + 1
    return requestIdsOf(group)
  }

  /**
   * Reads all slots up to the first free one.
   *
   * @returns Request ids of the stored records; `undefined` if the platform is unavailable.
   */
  async readToEnd(): Promise<string[] | undefined> {
    const found: string[] = []
    for (;;) {
      const ids = await this.#read(this.#nextSlot)
      if (ids === 'free') return found
      if (ids === undefined) return undefined
      found.push(...ids)
    }
  }

  async #read(slot: number): Promise<string[] | 'free' | undefined> {
    const read = await this.opts.store.get('billing', this.#slotName(slot))
    if (read.err) return undefined
    if (read.val === undefined) return 'free'
    this.#nextSlot = slot + 1
    return requestIdsOf(billingSlotSchema.parse(read.val.value).records)
  }

  #slotName(slot: number): string {
    return slotName(this.opts.incarnation, slot)
  }
}

/**
 * Name of a slot; the slot names of one incarnation sort in the order of their numbers.
 *
 * @example
 * slotName('n1-17', 3) // 'n1-17/00000003'
 */
export function slotName(incarnation: string, slot: number): string {
  return `${incarnation}/${String(slot).padStart(8, '0')}`
}

function selectFitting(records: readonly BillingRecord[]): BillingRecord[] {
  const group: BillingRecord[] = []
  let bytes = 0
  for (const record of records) {
    bytes += Buffer.byteLength(JSON.stringify(record)) + 1
    const isFull = bytes > MAX_SLOT_BYTES || group.length >= MAX_RECORDS_PER_SLOT
    if (isFull && group.length > 0) break
    group.push(record)
  }
  return group
}

function requestIdsOf(records: readonly BillingRecord[]): string[] {
  return records.map(({ requestId }) => requestId)
}
