/** HTTP server for callers and for whoever watches the process. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Duplex } from 'node:stream'
import { Err, Ok, notRun, type Refusal, type Result } from '@wagtailway/core'
import { handleCompletion } from '../request/completion.js'
import { handleServiceCall } from '../request/serviceCall.js'
import type { RouterNode } from '../routerNode.js'
import { sendJson, sendRefusal } from './sendAnswer.js'

const SERVICE_PATH = /^\/v1\/services\/([a-z0-9.-]+)(\/[^?]*)?$/
const MAX_HEADER_BYTES = 16_384
const MAX_CONNECTIONS = 10_000
const KEEP_ALIVE_MS = 60_000

export interface CallerServerOptions {
  readonly node: RouterNode
  /** Whether the instance wants new requests from the balancer. */
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

  private constructor(private readonly opts: CallerServerOptions) {
    const { requestTimeoutMs } = opts.node.cfg
    this.#server = createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: requestTimeoutMs,
        requestTimeout: requestTimeoutMs,
        connectionsCheckingInterval: Math.min(1_000, requestTimeoutMs),
        keepAliveTimeout: KEEP_ALIVE_MS,
      },
      (req, res) => {
        void this.#handle(req, res)
      },
    )
    this.#server.maxConnections = MAX_CONNECTIONS
    this.#server.on('clientError', (err: NodeJS.ErrnoException, socket) => {
      this.#refuseMalformed(err, socket)
    })
  }

  static async create(opts: CallerServerOptions): Promise<CallerServer> {
    const server = new CallerServer(opts)
    const { port, host } = opts.node.cfg
    await new Promise<void>((resolve, reject) => {
      server.#server.once('error', reject)
      server.#server.listen(port, host, resolve)
    })
    return server
  }

  get address(): string {
    const { address, port } = this.#server.address() as AddressInfo
    return `${address}:${port}`
  }

  /** Stops accepting and waits until every request in progress has its answer. */
  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.#server.close(() => {
        resolve()
      })
    })
    this.#server.closeIdleConnections()
    await closed
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { node } = this.opts
    if (!this.opts.isReady()) res.setHeader('connection', 'close')
    node.inProgress += 1
    node.metrics.inProgress.set(node.inProgress)
    try {
      const outcome = await this.#route(req, res)
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
    const path = (req.url ?? '/').split('?')[0] ?? '/'
    if (path === '/v1/chat/completions') {
      if (req.method === 'POST') return handleCompletion(node, req, res)
      return Err(notRun('method_not_allowed', 'Use POST.'))
    }
    const service = SERVICE_PATH.exec(path)
    if (service) {
      const rest = service[2] ?? '/'
      return handleServiceCall(node, req, res, service[1] ?? '', rest)
    }
    return this.#watch(path, res)
  }

  async #watch(path: string, res: ServerResponse): Promise<Result<undefined, Refusal>> {
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

  #refuseMalformed(err: NodeJS.ErrnoException, socket: Duplex): void {
    const refusal = malformed(err)
    this.opts.node.metrics.refusals.inc({ reason: refusal.reason, ran: refusal.ran })
    if (!socket.writable) {
      socket.destroy()
      return
    }
    const status = refusal.reason === 'headers_too_large' ? '431' : '400'
    const error = { type: refusal.reason, ran: refusal.ran, message: refusal.message }
    const body = JSON.stringify({ error })
    socket.end(
      `HTTP/1.1 ${status} Refused\r\ncontent-type: application/json\r\n` +
        `content-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`,
    )
  }
}

function malformed(err: NodeJS.ErrnoException): Refusal {
  if (err.code === 'HPE_HEADER_OVERFLOW') {
    return notRun(
      'headers_too_large',
      `Send at most ${MAX_HEADER_BYTES} bytes of headers.`,
    )
  }
  if (err.code === 'ERR_HTTP_REQUEST_TIMEOUT') {
    return notRun('request_timeout', 'The request took too long to arrive.')
  }
  return notRun('bad_request', 'This is not an HTTP/1.1 request.')
}
