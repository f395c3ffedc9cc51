/** What an entry instance exchanges with the others: heartbeats and copies of records. */
import {
  Ticker,
  type BillingRecord,
  type Member,
  type MemberIdentity,
  type MemberTable,
} from '@wagtailway/core'
import type { Instance } from '@wagtailway/platform'
import type { Identity } from '@wagtailway/protocol'
import { COPY_TIMEOUT_MS } from '../constants.js'
import { PeerClients } from './peerClients.js'
import { PeerServer } from './peerServer.js'

/** Copies of a record that its release waits for. */
const COPIES = 1

const HEARTBEAT_TIMEOUT_MS = 1_000

export interface PeersOptions {
  readonly self: Omit<MemberIdentity, 'address'>
  readonly host: string
  readonly port: number
  readonly heartbeatMs: number
  /** Creates the member table once this instance's address is known. */
  readonly createMembers: (self: MemberIdentity) => MemberTable
  readonly onError: (err: unknown) => void
}

/**
 * Peers of one entry instance.
 *
 * @example
 * const peers = await Peers.create(opts)
 * await peers.copyRecord(record)
 */
export class Peers {
  readonly #clients = PeerClients.create()
  readonly #copies = new Map<string, BillingRecord>()
  #listed: readonly string[] = []
  #heartbeat = 0
  #leaving = false
  #server!: PeerServer
  #ticker!: Ticker
  #members!: MemberTable
  #self!: MemberIdentity

  private constructor(private readonly opts: PeersOptions) {}

  static async create(opts: PeersOptions): Promise<Peers> {
    const peers = new Peers(opts)
    await peers.#start()
    return peers
  }

  get address(): string {
    return this.#server.address
  }

  get members(): MemberTable {
    return this.#members
  }

  /** Number of records kept for other instances. */
  get copyCount(): number {
    return this.#copies.size
  }

  /** Takes over the addresses of the platform's list. */
  setListed(instances: readonly Instance[]): void {
    this.#listed = instances
      .filter((i) => i.role === 'entry' && i.address !== this.address)
      .map((i) => i.address)
    this.#clients.keepOnly(new Set(this.#listed))
  }

  /** Copies a record to an instance of another zone if there is one. */
  async copyRecord(record: BillingRecord): Promise<number> {
    const alive = this.#members.alive()
    const elsewhere = alive.filter(({ zone }) => zone !== this.#self.zone)
    const targets = [...elsewhere, ...alive].slice(0, COPIES)
    const sent = await Promise.allSettled(
      targets.map((target) => this.#sendCopy(target, record)),
    )
    return sent.filter(({ status }) => status === 'fulfilled').length
  }

  /** Tells the others that records are stored and copies may be dropped. */
  async dropCopies(requestIds: readonly string[]): Promise<void> {
    const request = { from: this.#self, storedRequestIds: [...requestIds] }
    await Promise.allSettled(
      this.#members
        .alive()
        .map(({ address }) =>
          this.#clients.of(address).copyRecords(request, { timeoutMs: COPY_TIMEOUT_MS }),
        ),
    )
  }

  /** Tells the others that this instance is leaving. */
  async leave(): Promise<void> {
    this.#leaving = true
    await this.#beat()
  }

  async close(): Promise<void> {
    await this.#ticker.close()
    await this.#server.close()
    this.#clients.close()
  }

  async #start(): Promise<void> {
    this.#server = await PeerServer.create({
      host: this.opts.host,
      port: this.opts.port,
      service: {
        exchange: (request) => {
          if (request.from) this.#heard(request.from, request.heartbeat, request.leaving)
          return { from: this.#self, leaving: this.#leaving }
        },
        copyRecords: (request) => {
          for (const record of request.records) {
            this.#copies.set(record.requestId, toRecord(record))
          }
          for (const id of request.storedRequestIds) this.#copies.delete(id)
          return {}
        },
      },
    })
    this.#self = { ...this.opts.self, address: this.address }
    this.#members = this.opts.createMembers(this.#self)
    this.#ticker = Ticker.create({
      intervalMs: this.opts.heartbeatMs,
      step: () => this.#beat(),
      onError: this.opts.onError,
    })
  }

  async #beat(): Promise<void> {
    this.#heartbeat += 1
    const request = {
      from: this.#self,
      heartbeat: BigInt(this.#heartbeat),
      leaving: this.#leaving,
    }
    await Promise.allSettled(
      this.#listed.map((address) =>
        this.#clients.of(address).exchange(request, { timeoutMs: HEARTBEAT_TIMEOUT_MS }),
      ),
    )
  }

  #heard(from: Identity, heartbeat: bigint, leaving: boolean): void {
    const { node, incarnation, zone, region, address } = from
    const member: Member = { node, incarnation, zone, region, address, leaving }
    this.#members.heard(member, Number(heartbeat))
  }

  async #sendCopy({ address }: Member, record: BillingRecord): Promise<void> {
    const copy = {
      requestId: record.requestId,
      workspace: record.workspace,
      classKey: record.classKey,
      callsJson: JSON.stringify(record.calls),
      costMicros: BigInt(record.costMicros),
      atMs: BigInt(record.atMs),
    }
    const request = { from: this.#self, records: [copy] }
    await this.#clients.of(address).copyRecords(request, { timeoutMs: COPY_TIMEOUT_MS })
  }
}

function toRecord(copy: {
  requestId: string
  workspace: string
  classKey: string
  callsJson: string
  costMicros: bigint
  atMs: bigint
}): BillingRecord {
  return {
    requestId: copy.requestId,
    workspace: copy.workspace,
    classKey: copy.classKey,
    calls: JSON.parse(copy.callsJson) as BillingRecord['calls'],
    costMicros: Number(copy.costMicros),
    atMs: Number(copy.atMs),
  }
}
