/**
 * Small HTTP servers for the load balancer's readiness check, for feeds and for
 * metrics.
 */
import {
  createServer,
  type IncomingHttpHeaders,
  type Server,
  type ServerResponse,
} from 'node:http'
import { runOwned } from '@wagtailway/core'
import type { Listen } from '../sockets/sockets.js'
import { ownConnections } from './ownConnections.js'
import { SmallServerGuard, type SmallServerLimits } from './smallServerGuard.js'

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
 * Answers every request with the result of a function, or with 500 if that fails.
 *
 * @example
 * const respond = async () => ({ status: 200, body: 'ok' })
 * const server = await PlainServer.create(listen, respond, (err) => console.error(err))
 */
export class PlainServer {
  private constructor(private readonly server: Server) {}

  static async create(
    listen: Listen,
    respond: (req: PlainRequest) => Promise<PlainResponse> | PlainResponse,
    onError: (err: unknown, req: PlainRequest) => void,
    limits: SmallServerLimits = {},
  ): Promise<PlainServer> {
    const server = createServer((incoming, res) => {
      if (!guard.admit(incoming, res)) return
      incoming.resume()
      const req: PlainRequest = {
        path: incoming.url ?? '/',
        headers: incoming.headers,
        host: incoming.socket.remoteAddress ?? '',
      }
      const fail = (err: unknown): void => {
        onError(err, req)
        if (res.headersSent) res.destroy()
        else res.writeHead(500).end()
      }
      const owner = { work: 'plain request', id: req.path, end: fail }
      runOwned(owner, () => {
        answer(res, () => respond(req)).catch(fail)
      })
    })
    const guard = SmallServerGuard.create(server, limits)
    ownConnections(server, (err, host = '') => {
      onError(err, { path: '', headers: {}, host })
    })
    server.keepAliveTimeout = 30_000
    await listen(server)
    return new PlainServer(server)
  }

  /** Port that the server listens on. */
  get port(): number {
    const address = this.server.address()
    return typeof address === 'object' && address ? address.port : 0
  }

  close(): void {
    this.server.close()
    this.server.closeAllConnections()
  }
}

async function answer(
  res: ServerResponse,
  respond: () => Promise<PlainResponse> | PlainResponse,
): Promise<void> {
  const { status, contentType, contentEncoding, body } = await respond()
  res.writeHead(status, {
    'content-type': contentType ?? 'text/plain',
    ...(contentEncoding !== undefined && { 'content-encoding': contentEncoding }),
  })
  res.end(body)
}
