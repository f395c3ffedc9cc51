/** Copies of billing records between entry instances, over connect-es. */
import {
  CopyStore,
  CopySender,
  Ticker,
  monotonicClock,
  startTimer,
  type CopyBatch,
  type Ledger,
  type LedgerEntry,
  type Member,
  type MemberIdentity,
  type MemberTable,
  type ObjectStore,
} from '@wagtailway/core'
import type { CopyRecordsRequest } from '@wagtailway/protocol'
import { COPY_TIMEOUT_MS } from '../constants.js'
import type { PeerClients } from './peerClients.js'
import { toEntry, toRecordMessage } from './recordMessages.js'

/** Pause between two looks at what is stored and who has gone silent, in milliseconds. */
const REFRESH_MS = 1_000

/** Entries of one message when copies are handed over. */
const HAND_OVER_BATCH = 500

export interface RecordCopiesOptions {
  readonly self: MemberIdentity
  readonly members: MemberTable
  readonly clients: PeerClients
  readonly ledger: Ledger
  readonly store: ObjectStore
  /** Called with the number of records stored for instances that went silent. */
  readonly onRecovered: (count: number) => void
  readonly onError: (err: unknown) => void
}

/**
 * Sends copies of own records, keeps those of others and stores them if their
 * owner goes silent.
 *
 * @example
 * const copies = RecordCopies.create(opts)
 * await copies.copy(ledger.add(record))
 */
export class RecordCopies {
  readonly #keeper: CopyStore
  readonly #sender: CopySender<Member>
  readonly #ticker: Ticker

  private constructor(private readonly opts: RecordCopiesOptions) {
    const { self, members, ledger, store, onError } = opts
    const clock = monotonicClock
    this.#keeper = CopyStore.create({ store, self: self.incarnation, clock })
    this.#sender = CopySender.create({
      self,
      ledger,
      alive: () => members.alive(),
      send: (member, batch, timeoutMs) => this.#send(member, batch, timeoutMs),
      clock,
      startTimer,
      timeoutMs: COPY_TIMEOUT_MS,
    })
    const step = (): Promise<void> => this.#refresh()
    this.#ticker = Ticker.create({ intervalMs: REFRESH_MS, step, onError })
  }

  static create(opts: RecordCopiesOptions): RecordCopies {
    return new RecordCopies(opts)
  }

  /** Number of records kept for other instances. */
  get count(): number {
    return this.#keeper.count
  }

  /** Copies a record; false if no copy could be made. */
  copy(entry: LedgerEntry): Promise<boolean> {
    return this.#sender.copy(entry)
  }

  /** Takes in copies of another instance; false if there is no room. */
  receive(request: CopyRecordsRequest): boolean {
    return this.#keeper.receive({
      incarnation: request.incarnation,
      entries: request.records.map(toEntry),
      storedBelow: Number(request.storedBelow),
    })
  }

  /** Sends everything that this instance keeps to another one, before it leaves. */
  async handOver(): Promise<void> {
    await this.#sender.refresh()
    for (const batch of this.#keeper.batches()) await this.#handOverBatch(batch)
  }

  async close(): Promise<void> {
    await this.#ticker.close()
  }

  async #refresh(): Promise<void> {
    await this.#sender.refresh()
    const recovered = await this.#keeper.recover()
    if (recovered > 0) this.opts.onRecovered(recovered)
  }

  async #handOverBatch(batch: CopyBatch): Promise<void> {
    const heir = this.opts.members
      .alive()
      .find(({ incarnation }) => incarnation !== batch.incarnation)
    if (!heir) return
    for (let i = 0; i < batch.entries.length; i += HAND_OVER_BATCH) {
      const entries = batch.entries.slice(i, i + HAND_OVER_BATCH)
      await this.#send(heir, { ...batch, entries }, COPY_TIMEOUT_MS).catch(() => false)
    }
  }

  async #send(
    { address }: Member,
    batch: CopyBatch,
    timeoutMs: number,
  ): Promise<boolean> {
    const request = {
      incarnation: batch.incarnation,
      records: batch.entries.map(toRecordMessage),
      storedBelow: BigInt(batch.storedBelow),
    }
    const client = this.opts.clients.of(address)
    return (await client.copyRecords(request, { timeoutMs })).accepted
  }
}
