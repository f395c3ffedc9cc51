/** Communication of an entry instance with its peers, over one server and one pool of clients. */
import type { RequestListener } from 'node:http'
import type {
  Clock,
  ConfigHolder,
  ExchangeNode,
  Ledger,
  MemberIdentity,
  MemberTable,
  ObjectStore,
} from '@wagtailway/core'
import type { Instance } from '@wagtailway/platform'
import type { Listen } from '../http/listen.js'
import { Exchanges } from './exchanges.js'
import { PeerClaims, type ClaimKind, type ClaimTables } from './peerClaims.js'
import { PeerClients } from './peerClients.js'
import { PeerServer } from './peerServer.js'
import { RecordCopies } from './recordCopies.js'

export interface PeersOptions {
  readonly self: Omit<MemberIdentity, 'address'>
  readonly listen: Listen
  /** Monotonic clock. */
  readonly clock: Clock
  /** Pause between two ticks of the exchanges, in milliseconds. */
  readonly intervalMs: number
  /** Creates the exchange node once this instance's address is known. */
  readonly createNode: (self: MemberIdentity) => ExchangeNode<Instance>
  /** Called after each tick and whenever the configuration or the instance list may have changed. */
  readonly onChange: () => void
  /** Called with the encoded size of each message sent, in bytes. */
  readonly onBytes: (bytes: number) => void
  readonly store: ObjectStore
  readonly ledger: Ledger
  readonly tables: ClaimTables
  /** Called with the number of records stored on behalf of unresponsive instances. */
  readonly onRecovered: (count: number) => void
  /** Called for each claim that the owner of its range did not decide. */
  readonly onClaimFallback: (kind: ClaimKind) => void
  readonly onError: (err: unknown) => void
  /** Handles requests that are not calls of the peer service. */
  readonly fallback: RequestListener
}

/**
 * Exchanges, record copies and claims between one entry instance and its peers.
 *
 * @example
 * const peers = await Peers.create(opts)
 * await peers.copies.copy(ledger.add(record))
 */
export class Peers {
  private constructor(
    private readonly server: PeerServer,
    private readonly clients: PeerClients,
    readonly node: ExchangeNode<Instance>,
    readonly exchanges: Exchanges,
    readonly copies: RecordCopies,
    readonly claims: PeerClaims,
  ) {}

  static async create(opts: PeersOptions): Promise<Peers> {
    const clients = PeerClients.create()
    // The components need the server's address, so the server reaches them through this holder.
    const holder: { peers?: Peers } = {}
    const server = await PeerServer.create({
      listen: opts.listen,
      fallback: opts.fallback,
      service: {
        exchange: (request) => holder.peers?.exchanges.exchange(request) ?? {},
        fetchConfig: ({ afterRevision }) =>
          holder.peers?.exchanges.configDelta(afterRevision) ?? {},
        fetchInstances: ({ afterHash }) =>
          holder.peers?.exchanges.instanceDelta(afterHash) ?? {},
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
    const node = opts.createNode(self)
    const exchanges = Exchanges.create({ ...opts, node, clients })
    const shared = { self, members: node.members, clients }
    const copies = RecordCopies.create({ ...opts, ...shared })
    const claims = PeerClaims.create({
      ...shared,
      tables: opts.tables,
      onFallback: opts.onClaimFallback,
    })
    holder.peers = new Peers(server, clients, node, exchanges, copies, claims)
    return holder.peers
  }

  get address(): string {
    return this.server.address
  }

  get members(): MemberTable {
    return this.node.members
  }

  get config(): ConfigHolder {
    return this.node.config
  }

  /** Drops the clients of instances that are neither listed nor known members. */
  dropStaleClients(): void {
    const listed = this.node.instances.instances.map(({ address }) => address)
    const known = this.members.known().map(({ address }) => address)
    this.clients.retainOnly(new Set([...listed, ...known]))
  }

  async close(): Promise<void> {
    await this.exchanges.close()
    await this.copies.close()
    await this.server.close()
    this.clients.close()
  }
}
