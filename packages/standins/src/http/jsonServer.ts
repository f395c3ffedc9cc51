/** Small HTTP server for stand-ins: routes by method and path pattern, JSON responses. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http'
import type { AddressInfo } from 'node:net'

export interface RouteCall {
  readonly req: IncomingMessage
  readonly res: ServerResponse
  readonly url: URL
  /** Decoded values of the path pattern's capture groups. */
  readonly params: readonly string[]
  /** Request body as text. */
  readonly body: string
}

export interface Route {
  readonly method: string
  readonly pattern: RegExp
  readonly handle: (call: RouteCall) => void | Promise<void>
}

/**
 * Serves routes on loopback.
 *
 * @example
 * const server = await JsonServer.create({ port: 0, routes })
 * server.url // 'http://127.0.0.1:40123'
 */
export class JsonServer {
  private constructor(
    private readonly server: Server,
    readonly port: number,
  ) {}

  static async create(opts: {
    host?: string
    port: number
    routes: readonly Route[]
  }): Promise<JsonServer> {
    const server = createServer((req, res) => {
      serve(opts.routes, req, res).catch((err: unknown) => {
        if (!res.headersSent) sendJson(res, 500, { error: String(err) })
        else res.destroy()
      })
    })
    server.keepAliveTimeout = 60_000
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(opts.port, opts.host ?? '127.0.0.1', resolve)
    })
    return new JsonServer(server, (server.address() as AddressInfo).port)
  }

  get address(): string {
    return `127.0.0.1:${this.port}`
  }

  get url(): string {
    return `http://${this.address}`
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

/** Sends a JSON response. */
export function sendJson(res: ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, { 'content-type': 'application/json' })
  res.end(JSON.stringify(body))
}

async function serve(
  routes: readonly Route[],
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const url = new URL(req.url ?? '/', 'http://standin')
  for (const route of routes) {
    const match = route.method === req.method && route.pattern.exec(url.pathname)
    if (!match) continue
    const params = match.slice(1).map((part) => decodeURIComponent(part))
    await route.handle({ req, res, url, params, body: await readText(req) })
    return
  }
  sendJson(res, 404, { error: 'no such route' })
}

async function readText(req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of req) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks).toString()
}
