/**
 * Small HTTP servers for the load balancer's readiness check, for feeds and for
 * metrics.
 */
import { createServer, type IncomingHttpHeaders, type Server } from 'node:http'
import type { ListenAddress } from './callerServer.js'

export interface PlainRequest {
  /** Path with the query. */
  readonly path: string
  readonly headers: IncomingHttpHeaders
  /** Address of the client. */
  readonly host: string
}

export interface PlainResponse {
  readonly status: number
  readonly contentType?: string
  readonly contentEncoding?: string
  readonly body: string | Buffer
}

/**
 * Answers every request with the result of a function.
 *
 * @example
 * const server = await PlainServer.create(address, async () => ({ status: 200, body: 'ok' }))
 */
export class PlainServer {
  private constructor(private readonly server: Server) {}

  static async create(
    address: ListenAddress,
    respond: (req: PlainRequest) => Promise<PlainResponse> | PlainResponse,
  ): Promise<PlainServer> {
    const server = createServer((req, res) => {
      req.resume()
      void Promise.resolve(
        respond({
          path: req.url ?? '/',
          headers: req.headers,
          host: req.socket.remoteAddress ?? '',
        }),
      ).then(({ status, contentType, contentEncoding, body }) => {
        res.writeHead(status, {
          'content-type': contentType ?? 'text/plain',
          ...(contentEncoding !== undefined && { 'content-encoding': contentEncoding }),
        })
        res.end(body)
      })
    })
    server.keepAliveTimeout = 30_000
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(address, resolve)
    })
    return new PlainServer(server)
  }

  close(): void {
    this.server.close()
    this.server.closeAllConnections()
  }
}
