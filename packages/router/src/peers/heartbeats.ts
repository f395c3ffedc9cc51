/** Heartbeats between entry instances. */
import {
  Ticker,
  type Member,
  type MemberIdentity,
  type MemberTable,
} from '@wagtailway/core'
import type { ExchangeRequest, ExchangeResponse } from '@wagtailway/protocol'
import type { MessageInitShape } from '@bufbuild/protobuf'
import type { ExchangeResponseSchema } from '@wagtailway/protocol'
import type { PeerClients } from './peerClients.js'

const HEARTBEAT_TIMEOUT_MS = 1_000

export interface HeartbeatsOptions {
  readonly self: MemberIdentity
  readonly members: MemberTable
  readonly clients: PeerClients
  readonly intervalMs: number
  readonly onError: (err: unknown) => void
}

/**
 * Sends heartbeats to every listed instance and takes in theirs.
 *
 * @example
 * const heartbeats = Heartbeats.create(opts)
 * heartbeats.setListed(['10.0.0.5:7001'])
 */
export class Heartbeats {
  #listed: readonly string[] = []
  #heartbeat = 0
  #leaving = false
  readonly #ticker: Ticker

  private constructor(private readonly opts: HeartbeatsOptions) {
    this.#ticker = Ticker.create({
      intervalMs: opts.intervalMs,
      step: () => this.#beat(),
      onError: opts.onError,
    })
  }

  static create(opts: HeartbeatsOptions): Heartbeats {
    return new Heartbeats(opts)
  }

  /** Takes over the addresses of the other listed instances. */
  setListed(addresses: readonly string[]): void {
    this.#listed = addresses
  }

  /** Answers a heartbeat of another instance. */
  exchange(request: ExchangeRequest): MessageInitShape<typeof ExchangeResponseSchema> {
    if (request.from) {
      const { node, incarnation, zone, region, address } = request.from
      const { leaving } = request
      const member: Member = { node, incarnation, zone, region, address, leaving }
      this.opts.members.heard(member, Number(request.heartbeat))
    }
    return { from: this.opts.self, leaving: this.#leaving }
  }

  /** Tells the others that this instance is leaving. */
  async leave(): Promise<void> {
    this.#leaving = true
    await this.#beat()
  }

  async close(): Promise<void> {
    await this.#ticker.close()
  }

  async #beat(): Promise<void> {
    this.#heartbeat += 1
    const request = {
      from: this.opts.self,
      heartbeat: BigInt(this.#heartbeat),
      leaving: this.#leaving,
    }
    await Promise.allSettled(this.#listed.map((address) => this.#send(address, request)))
  }

  #send(
    address: string,
    request: { from: MemberIdentity; heartbeat: bigint; leaving: boolean },
  ): Promise<ExchangeResponse> {
    const client = this.opts.clients.of(address)
    return client.exchange(request, { timeoutMs: HEARTBEAT_TIMEOUT_MS })
  }
}
