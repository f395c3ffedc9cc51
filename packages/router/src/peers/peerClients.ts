/** Clients of other entry instances, sharing one connection pool. */
import { Agent } from 'node:http'
import { createClient, type Client } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { PeerService } from '@wagtailway/protocol'

export type PeerClient = Client<typeof PeerService>

/**
 * Creates a client for each address on first use and caches it.
 *
 * @example
 * const clients = PeerClients.create()
 * await clients.forAddress('10.0.0.5:7001').exchange({})
 */
export class PeerClients {
  readonly #agent = new Agent({ keepAlive: true })
  readonly #clients = new Map<string, PeerClient>()

  static create(): PeerClients {
    return new PeerClients()
  }

  forAddress(address: string): PeerClient {
    const known = this.#clients.get(address)
    if (known) return known
    const transport = createConnectTransport({
      httpVersion: '1.1',
      baseUrl: `http://${address}`,
      nodeOptions: { agent: this.#agent },
    })
    const client = createClient(PeerService, transport)
    this.#clients.set(address, client)
    return client
  }

  /** Drops the clients of all addresses that are not in the set. */
  retainOnly(addresses: ReadonlySet<string>): void {
    for (const address of this.#clients.keys()) {
      if (!addresses.has(address)) this.#clients.delete(address)
    }
  }

  close(): void {
    this.#agent.destroy()
    this.#clients.clear()
  }
}
