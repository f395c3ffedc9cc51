/**
 * The log of one incarnation: numbered slots, each created only if absent, so that
 * any node can append to it but nobody can change it.
 *
 * Whoever appends has read every slot that could hold its records and leaves out
 * those that stand there, so a record stands in the log once, whoever wrote it.
 */
import type { ObjectStore } from '../platform/objectStore.js'
import { billingSlotSchema, type BillingRecord } from './billingRecord.js'

/** Records in one slot. */
const MAX_RECORDS_PER_SLOT = 2_000

/** Size of a slot, under the platform's limit of one megabyte a value. */
const MAX_SLOT_BYTES = 800_000

export interface SlotLogOptions {
  readonly store: ObjectStore
  /** Whose log it is. */
  readonly incarnation: string
  /** Who writes. */
  readonly writer: string
  /** First slot that could hold one of the writer's records. */
  readonly fromSlot: number
}

/**
 * Reads and appends to one log.
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
   * Writes as many of the records as fit into the next slot. If the slot is taken,
   * its records are learnt instead.
   *
   * @returns Ids of the requests whose records stand in the slot; `undefined` if
   *   the platform is away.
   */
  async append(records: readonly BillingRecord[]): Promise<string[] | undefined> {
    const slot = this.#nextSlot
    const group = fitting(records)
    const value = { writer: this.opts.writer, records: group }
    const written = await this.opts.store.put('billing', this.#nameOf(slot), value, 0)
    if (written.err) {
      const ids = await this.#read(slot)
      return ids === 'free' ? undefined : ids
    }
    this.#nextSlot = slot + 1
    return idsOf(group)
  }

  /** Reads up to the first free slot; returns the ids found, `undefined` if the platform is away. */
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
    const read = await this.opts.store.get('billing', this.#nameOf(slot))
    if (read.err) return undefined
    if (read.val === undefined) return 'free'
    this.#nextSlot = slot + 1
    return idsOf(billingSlotSchema.parse(read.val.value).records)
  }

  #nameOf(slot: number): string {
    return slotName(this.opts.incarnation, slot)
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

function fitting(records: readonly BillingRecord[]): BillingRecord[] {
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

function idsOf(records: readonly BillingRecord[]): string[] {
  return records.map(({ requestId }) => requestId)
}
