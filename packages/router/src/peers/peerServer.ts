/** Serves other entry instances over connect-es. */
import { createServer, type RequestListener, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { ServiceImpl } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { PeerService } from '@wagtailway/protocol'
import type { Listen } from '../http/listen.js'

/**
 * HTTP server of the peer service.
 *
 * @example
 * const server = await PeerServer.create({ listen, service, fallback })
 */
export class PeerServer {
  private constructor(private readonly server: Server) {}

  static async create(opts: {
    listen: Listen
    service: Partial<ServiceImpl<typeof PeerService>>
    /** Handles requests that are not calls of the peer service. */
    fallback: RequestListener
  }): Promise<PeerServer> {
    const handler = connectNodeAdapter({
      routes: (router) => router.service(PeerService, opts.service),
    })
    const servicePath = `/${PeerService.typeName}/`
    const server = createServer((req, res) => {
      if (req.url?.startsWith(servicePath) === true) handler(req, res)
      else opts.fallback(req, res)
    })
    await opts.listen(server)
    return new PeerServer(server)
  }

  get address(): string {
    const { address, port } = this.server.address() as AddressInfo
    return `${address}:${port}`
  }

  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => {
        resolve()
      })
    })
    this.server.closeAllConnections()
    await closed
  }
}
