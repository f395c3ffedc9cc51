/** Copies of billing records at other entry instances, kept until the owner has stored them. */
import type { BillingRecord, Member, MemberIdentity, MemberTable } from '@wagtailway/core'
import type {
  BillingRecord as RecordMessage,
  CopyRecordsRequest,
} from '@wagtailway/protocol'
import { COPY_TIMEOUT_MS } from '../constants.js'
import type { PeerClients } from './peerClients.js'

/** Copies of a record that its release waits for. */
const COPIES = 1

export interface RecordCopiesOptions {
  readonly self: MemberIdentity
  readonly members: MemberTable
  readonly clients: PeerClients
}

/**
 * Sends copies of own records and keeps those of others.
 *
 * @example
 * const copies = RecordCopies.create({ self, members, clients })
 * await copies.copy(record)
 */
export class RecordCopies {
  readonly #kept = new Map<string, BillingRecord>()

  private constructor(private readonly opts: RecordCopiesOptions) {}

  static create(opts: RecordCopiesOptions): RecordCopies {
    return new RecordCopies(opts)
  }

  /** Number of records kept for other instances. */
  get count(): number {
    return this.#kept.size
  }

  /** Copies a record, to an instance of another zone if there is one; returns the copies made. */
  async copy(record: BillingRecord): Promise<number> {
    const alive = this.opts.members.alive()
    const elsewhere = alive.filter(({ zone }) => zone !== this.opts.self.zone)
    const targets = [...elsewhere, ...alive].slice(0, COPIES)
    const sent = await Promise.allSettled(
      targets.map((target) => this.#send(target, record)),
    )
    return sent.filter(({ status }) => status === 'fulfilled').length
  }

  /** Tells the others that records are stored and copies may be dropped. */
  async drop(requestIds: readonly string[]): Promise<void> {
    const request = { from: this.opts.self, storedRequestIds: [...requestIds] }
    await Promise.allSettled(
      this.opts.members.alive().map(({ address }) => {
        const client = this.opts.clients.of(address)
        return client.copyRecords(request, { timeoutMs: COPY_TIMEOUT_MS })
      }),
    )
  }

  /** Takes in copies of another instance. */
  receive(request: CopyRecordsRequest): void {
    for (const record of request.records) {
      this.#kept.set(record.requestId, toRecord(record))
    }
    for (const id of request.storedRequestIds) this.#kept.delete(id)
  }

  async #send({ address }: Member, record: BillingRecord): Promise<void> {
    const request = { from: this.opts.self, records: [toMessage(record)] }
    const client = this.opts.clients.of(address)
    await client.copyRecords(request, { timeoutMs: COPY_TIMEOUT_MS })
  }
}

function toMessage(record: BillingRecord): Omit<RecordMessage, '$typeName'> {
  return {
    requestId: record.requestId,
    workspace: record.workspace,
    classKey: record.classKey,
    callsJson: JSON.stringify(record.calls),
    costMicros: BigInt(record.costMicros),
    atMs: BigInt(record.atMs),
  }
}

function toRecord(message: RecordMessage): BillingRecord {
  return {
    requestId: message.requestId,
    workspace: message.workspace,
    classKey: message.classKey,
    calls: JSON.parse(message.callsJson) as BillingRecord['calls'],
    costMicros: Number(message.costMicros),
    atMs: Number(message.atMs),
  }
}
