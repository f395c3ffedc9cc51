/** Copies billing records between entry instances over connect-es. */
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

/** Pause between refreshes of the copies and checks for unresponsive owners, in milliseconds. */
const REFRESH_MS = 1_000

/** Maximum number of entries per message when copies are handed over. */
const HANDOVER_BATCH_SIZE = 500

export interface RecordCopiesOptions {
  readonly self: MemberIdentity
  readonly members: MemberTable
  readonly clients: PeerClients
  readonly ledger: Ledger
  readonly store: ObjectStore
  /** Called with the number of records stored on behalf of unresponsive instances. */
  readonly onRecovered: (count: number) => void
  readonly onError: (err: unknown) => void
}

/**
 * Sends copies of this instance's records, retains copies of other instances' records and
 * stores them in the platform if their owner becomes unresponsive.
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

  /** Number of copies retained for other instances. */
  get count(): number {
    return this.#keeper.count
  }

  /** Copies a record to other instances; resolves to false if no copy could be made. */
  copy(entry: LedgerEntry): Promise<boolean> {
    return this.#sender.copy(entry)
  }

  /** Retains copies received from another instance; returns false if there is no room. */
  receive(request: CopyRecordsRequest): boolean {
    return this.#keeper.receive({
      incarnation: request.incarnation,
      entries: request.records.map(toEntry),
      storedBelow: Number(request.storedBelow),
    })
  }

  /**
   * Refreshes the copies of this instance's records and hands the copies that it retains to
   * other instances, before it shuts down.
   */
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
    const recipient = this.opts.members
      .alive()
      .find(({ incarnation }) => incarnation !== batch.incarnation)
    if (!recipient) return
    for (let i = 0; i < batch.entries.length; i += HANDOVER_BATCH_SIZE) {
      const entries = batch.entries.slice(i, i + HANDOVER_BATCH_SIZE)
      await this.#send(recipient, { ...batch, entries }, COPY_TIMEOUT_MS).catch(
        () => false,
      )
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
    const client = this.opts.clients.forAddress(address)
    return (await client.copyRecords(request, { timeoutMs })).accepted
  }
}
