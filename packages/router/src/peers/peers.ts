/** What an entry instance shares with the others, over one server and one pool of clients. */
import type { RequestListener } from 'node:http'
import type { MemberIdentity, MemberTable } from '@wagtailway/core'
import type { Instance } from '@wagtailway/platform'
import { Heartbeats } from './heartbeats.js'
import { PeerClients } from './peerClients.js'
import { PeerServer } from './peerServer.js'
import { RecordCopies } from './recordCopies.js'

export interface PeersOptions {
  readonly self: Omit<MemberIdentity, 'address'>
  readonly host: string
  readonly port: number
  readonly heartbeatMs: number
  /** Creates the member table once this instance's address is known. */
  readonly createMembers: (self: MemberIdentity) => MemberTable
  readonly onError: (err: unknown) => void
  /** Answers what is no call of the peer service. */
  readonly fallback: RequestListener
}

/**
 * Peers of one entry instance.
 *
 * @example
 * const peers = await Peers.create(opts)
 * await peers.copies.copy(record)
 */
export class Peers {
  private constructor(
    private readonly server: PeerServer,
    private readonly clients: PeerClients,
    readonly members: MemberTable,
    readonly heartbeats: Heartbeats,
    readonly copies: RecordCopies,
  ) {}

  static async create(opts: PeersOptions): Promise<Peers> {
    const clients = PeerClients.create()
    // The parts need the server's address, so its calls reach them through this holder.
    const holder: { peers?: Peers } = {}
    const server = await PeerServer.create({
      host: opts.host,
      port: opts.port,
      fallback: opts.fallback,
      service: {
        exchange: (request) => holder.peers?.heartbeats.exchange(request) ?? {},
        copyRecords: (request) => {
          holder.peers?.copies.receive(request)
          return {}
        },
      },
    })
    const self = { ...opts.self, address: server.address }
    const members = opts.createMembers(self)
    const { heartbeatMs: intervalMs, onError } = opts
    const heartbeats = Heartbeats.create({ self, members, clients, intervalMs, onError })
    const copies = RecordCopies.create({ self, members, clients })
    holder.peers = new Peers(server, clients, members, heartbeats, copies)
    return holder.peers
  }

  get address(): string {
    return this.server.address
  }

  /** Takes over the addresses of the platform's list. */
  setListed(instances: readonly Instance[]): void {
    const others = instances
      .filter((i) => i.role === 'entry' && i.address !== this.address)
      .map((i) => i.address)
    this.heartbeats.setListed(others)
    this.clients.keepOnly(new Set(others))
  }

  async close(): Promise<void> {
    await this.heartbeats.close()
    await this.server.close()
    this.clients.close()
  }
}
