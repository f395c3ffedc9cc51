/** HTTP server for callers, health checks and metrics. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Duplex } from 'node:stream'
import {
  Err,
  Ok,
  callOwned,
  flagOf,
  notRun,
  type Refusal,
  type Result,
} from '@wagtailway/core'
import { handleCompletion } from '../request/completion.js'
import { handleServiceRequest } from '../request/serviceRequest.js'
import type { RouterNode } from '../routerNode.js'
import { listenWithRetry } from './listen.js'
import { MAX_HEADER_BYTES, malformedRefusal, refuseOnSocket } from './malformedRequest.js'
import { sendJson, sendRefusal } from './sendResponse.js'

const SERVICE_PATH = /^\/v1\/services\/([a-z0-9.-]+)([/?].*)?$/
/** Open connections beyond which new ones are dropped. */
const MAX_CONNECTIONS = 10_000
/** Interval at which idle connections are closed during shutdown, in milliseconds. */
const IDLE_SWEEP_MS = 100

/** Time after which an idle connection is closed, in milliseconds. */
const KEEP_ALIVE_MS = 60_000

export interface CallerServerOptions {
  readonly node: RouterNode
  /** Whether the load balancer should send new requests to the instance. */
  readonly isReady: () => boolean
}

/**
 * Serves callers; `close` waits for requests in progress.
 *
 * @example
 * const server = await CallerServer.create({ node, isReady: () => true })
 */
export class CallerServer {
  readonly #server: Server
  /** The latest response on each connection, complete or not. */
  readonly #responses = new WeakMap<Duplex, ServerResponse>()
  /** Connections that were refused or closed on the socket itself. */
  readonly #refused = new WeakSet<Duplex>()

  private constructor(private readonly opts: CallerServerOptions) {
    const { requestTimeoutMs } = opts.node.cfg
    this.#server = createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: requestTimeoutMs,
        requestTimeout: requestTimeoutMs,
        connectionsCheckingInterval: Math.min(1_000, requestTimeoutMs),
        keepAliveTimeout: KEEP_ALIVE_MS,
        // A missing Host header is checked in #route, which sends a typed refusal.
        requireHostHeader: false,
      },
      (req, res) => {
        void this.#handle(req, res)
      },
    )
    this.#server.maxConnections = MAX_CONNECTIONS
    // Headers are limited by size; a limit by number would silently drop the last ones.
    this.#server.maxHeadersCount = 0
    this.#addServerListeners()
  }

  static async create(opts: CallerServerOptions): Promise<CallerServer> {
    const server = new CallerServer(opts)
    const { cfg, log, metrics } = opts.node
    const { port, host } = cfg
    const setting = `--${flagOf('port')}`
    await listenWithRetry({ socket: 'callers', host, port, setting, log, metrics })(
      server.#server,
    )
    return server
  }

  get address(): string {
    const { address, port } = this.#server.address() as AddressInfo
    return `${address}:${port}`
  }

  /** Stops accepting connections and waits until every request in progress is complete. */
  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.#server.close(() => {
        resolve()
      })
    })
    // A busy connection becomes idle only after its response, so one pass is not enough.
    const idleSweep = setInterval(() => {
      this.#server.closeIdleConnections()
    }, IDLE_SWEEP_MS)
    await closed
    clearInterval(idleSweep)
  }

  /** Handles malformed requests, CONNECT, Expect headers and dropped connections. */
  #addServerListeners(): void {
    const { metrics } = this.opts.node
    this.#server.on('clientError', (err: NodeJS.ErrnoException, socket) => {
      this.#refuseSocket(socket, malformedRefusal(err))
    })
    this.#server.on('connect', (_req, socket) => {
      const message = 'This is no proxy; nothing can be connected through it.'
      this.#refuseSocket(socket, notRun('method_not_allowed', message))
    })
    this.#server.on('checkContinue', (req: IncomingMessage, res: ServerResponse) => {
      const size = Number(req.headers['content-length'] ?? 0)
      if (size <= this.opts.node.cfg.maxBodyBytes) res.writeContinue()
      void this.#handle(req, res)
    })
    this.#server.on('checkExpectation', (_req, res: ServerResponse) => {
      this.#refuse(res, notRun('bad_request', 'Only "Expect: 100-continue" is known.'))
    })
    this.#server.on('drop', () => {
      metrics.droppedConnections.inc()
    })
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { node } = this.opts
    this.#responses.set(req.socket, res)
    if (!this.opts.isReady()) res.setHeader('connection', 'close')
    node.inProgress += 1
    node.metrics.inProgress.set(node.inProgress)
    try {
      const outcome = await callOwned('request', req.url ?? '', () =>
        this.#route(req, res),
      )
      if (outcome.err) this.#refuse(res, outcome.val)
    } catch (err) {
      node.log.error('request failed inside the router', err)
      this.#refuse(res, {
        reason: 'internal',
        ran: 'unknown',
        message: 'Internal error.',
      })
    } finally {
      node.inProgress -= 1
      node.metrics.inProgress.set(node.inProgress)
    }
  }

  #refuse(res: ServerResponse, refusal: Refusal): void {
    // A request that arrived too slowly was already refused and counted on the socket.
    if (this.#refused.has(res.req.socket)) return
    const { metrics } = this.opts.node
    metrics.refusals.inc({ reason: refusal.reason, ran: refusal.ran })
    if (res.destroyed) metrics.abandoned.inc()
    sendRefusal(res, refusal)
  }

  async #route(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<Result<undefined, Refusal>> {
    const { node } = this.opts
    const url = req.url ?? '/'
    const path = url.split('?')[0] ?? '/'
    if (req.headers.host === undefined && req.httpVersion === '1.1') {
      return Err(notRun('bad_request', 'Send a Host header.'))
    }
    if (path === '/v1/chat/completions') {
      if (req.method === 'POST') return handleCompletion(node, req, res)
      return Err(notRun('method_not_allowed', 'Use POST.'))
    }
    const service = SERVICE_PATH.exec(url)
    if (service) {
      const pathAndQuery = service[2] ?? '/'
      const target = pathAndQuery.startsWith('/') ? pathAndQuery : `/${pathAndQuery}`
      return handleServiceRequest(node, req, res, service[1] ?? '', target)
    }
    return this.#serveMonitoring(path, res)
  }

  async #serveMonitoring(
    path: string,
    res: ServerResponse,
  ): Promise<Result<undefined, Refusal>> {
    const { node } = this.opts
    switch (path) {
      case '/healthz':
        sendJson(res, 200, { status: 'ok' })
        return Ok(undefined)
      case '/readyz':
        sendJson(res, this.opts.isReady() ? 200 : 503, { ready: this.opts.isReady() })
        return Ok(undefined)
      case '/metrics': {
        const text = await node.metrics.registry.metrics()
        res.writeHead(200, { 'content-type': node.metrics.registry.contentType })
        res.end(text)
        return Ok(undefined)
      }
      default:
        return Err(notRun('no_route', `Nothing is served at ${path}.`))
    }
  }

  #refuseSocket(socket: Duplex, refusal: Refusal): void {
    if (this.#refused.has(socket)) return
    this.#refused.add(socket)
    this.opts.node.metrics.refusals.inc({ reason: refusal.reason, ran: refusal.ran })
    refuseOnSocket(socket, this.#responses.get(socket), refusal)
  }
}
