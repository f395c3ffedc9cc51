/** What an entry instance shares with the others, over one server and one pool of clients. */
import type { Ledger, MemberIdentity, MemberTable, ObjectStore } from '@wagtailway/core'
import type { Instance } from '@wagtailway/platform'
import { Heartbeats } from './heartbeats.js'
import { PeerClaims, type ClaimKind, type ClaimTables } from './peerClaims.js'
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
  readonly store: ObjectStore
  readonly ledger: Ledger
  readonly tables: ClaimTables
  /** Called with the number of records stored for instances that went silent. */
  readonly onRecovered: (count: number) => void
  /** Called for each claim that its range's owner did not decide. */
  readonly onClaimFallback: (kind: ClaimKind) => void
  readonly onError: (err: unknown) => void
}

/**
 * Peers of one entry instance.
 *
 * @example
 * const peers = await Peers.create(opts)
 * await peers.copies.copy(ledger.add(record))
 */
export class Peers {
  private constructor(
    private readonly server: PeerServer,
    private readonly clients: PeerClients,
    readonly members: MemberTable,
    readonly heartbeats: Heartbeats,
    readonly copies: RecordCopies,
    readonly claims: PeerClaims,
  ) {}

  static async create(opts: PeersOptions): Promise<Peers> {
    const clients = PeerClients.create()
    // The parts need the server's address, so its calls reach them through this holder.
    const holder: { peers?: Peers } = {}
    const server = await PeerServer.create({
      host: opts.host,
      port: opts.port,
      service: {
        exchange: (request) => holder.peers?.heartbeats.exchange(request) ?? {},
        copyRecords: (request) => ({
          accepted: holder.peers?.copies.receive(request) ?? false,
        }),
        claim: (request) => holder.peers?.claims.receive(request) ?? {},
        noteClaim: (request) => {
          holder.peers?.claims.receiveNote(request)
          return {}
        },
      },
    })
    const self = { ...opts.self, address: server.address }
    const members = opts.createMembers(self)
    const { heartbeatMs: intervalMs, onError } = opts
    const heartbeats = Heartbeats.create({ self, members, clients, intervalMs, onError })
    const shared = { self, members, clients }
    const copies = RecordCopies.create({ ...opts, ...shared })
    const claims = PeerClaims.create({
      ...shared,
      tables: opts.tables,
      onFallback: opts.onClaimFallback,
    })
    holder.peers = new Peers(server, clients, members, heartbeats, copies, claims)
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
    await this.copies.close()
    await this.server.close()
    this.clients.close()
  }
}
