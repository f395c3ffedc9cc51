/** HTTP server for callers. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http'
import type { Duplex } from 'node:stream'
import { Caller } from '../forward/caller.js'
import { handleRequest } from '../forward/handleRequest.js'
import type { GatewayNode } from '../gatewayNode.js'
import type { CallerLimits } from '../model/config.js'

/** Largest head that the parser takes, in bytes; the configured limit is checked after. */
const PARSER_HEADER_BYTES = 65_536

/** Margin by which idle connections outlive the configured time, in milliseconds. */
const IDLE_MARGIN_MS = 1_000

/** How often slow heads are looked for, in milliseconds. */
const HEAD_CHECK_MS = 500

/** Pause between two closings of idle connections while leaving, in milliseconds. */
const IDLE_SWEEP_MS = 50

export interface ListenAddress {
  readonly host: string
  readonly port: number
}

/**
 * Serves callers.
 *
 * @example
 * const server = await CallerServer.create(node, { host: '127.0.0.1', port: 8080 })
 * await server.finish(5_000)
 */
export class CallerServer {
  readonly #server: Server
  readonly #answers = new WeakMap<Duplex, ServerResponse>()
  #maxHeaderBytes = PARSER_HEADER_BYTES

  private constructor(private readonly node: GatewayNode) {
    this.#server = createServer(
      {
        maxHeaderSize: PARSER_HEADER_BYTES,
        connectionsCheckingInterval: HEAD_CHECK_MS,
        requireHostHeader: false,
        requestTimeout: 0,
        noDelay: true,
      },
      (req, res) => {
        void this.#handle(req, res)
      },
    )
    this.#server.maxHeadersCount = 0
    this.#server.on('clientError', (err: NodeJS.ErrnoException, socket) => {
      this.#badInput(err, socket)
    })
    this.#server.on('connect', (_req, socket: Duplex) => {
      socket.destroy()
    })
  }

  static async create(node: GatewayNode, address: ListenAddress): Promise<CallerServer> {
    const server = new CallerServer(node)
    await new Promise<void>((resolve, reject) => {
      server.#server.once('error', reject)
      server.#server.listen({ ...address, backlog: 1_024 }, resolve)
    })
    return server
  }

  /** Port that is listened on. */
  get port(): number {
    const address = this.#server.address()
    return typeof address === 'object' && address ? address.port : 0
  }

  setLimits(limits: CallerLimits): void {
    this.#maxHeaderBytes = limits.maxHeaderBytes
    this.#server.headersTimeout = limits.headerTimeoutMs
    this.#server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS
  }

  /** Takes no new connections and closes the idle ones; requests in progress go on. */
  async drain(graceMs: number): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.#server.close(() => {
        resolve()
      })
    })
    const sweep = setInterval(() => {
      this.#server.closeIdleConnections()
    }, IDLE_SWEEP_MS)
    const end = setTimeout(() => {
      this.#server.closeAllConnections()
    }, graceMs)
    await closed
    clearInterval(sweep)
    clearTimeout(end)
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { node } = this
    this.#answers.set(req.socket, res)
    if (node.isDraining) res.shouldKeepAlive = false
    node.inProgress += 1
    node.opts.metrics.inProgress.set(node.inProgress)
    const caller = Caller.create(req, res, node.opts.dialect, node.opts.clock())
    try {
      if (headBytes(req) > this.#maxHeaderBytes) {
        caller.refuse('headers_too_large')
        node.opts.metrics.refusals.inc({ reason: 'headers_too_large' })
      } else await handleRequest(node, caller)
    } catch (err) {
      node.opts.log('request_failed_inside', {
        id: caller.facts.requestId,
        err: String(err),
      })
      caller.refuse('server_failed')
    } finally {
      node.inProgress -= 1
      node.opts.metrics.inProgress.set(node.inProgress)
    }
  }

  /** Answers what is no HTTP request, unless another answer may be under way there. */
  #badInput(err: NodeJS.ErrnoException, socket: Duplex): void {
    const answer = this.#answers.get(socket)
    const isBetween = !answer || answer.writableFinished
    this.node.opts.metrics.refusals.inc({ reason: err.code ?? 'bad_input' })
    if (!socket.writable || !isBetween || err.code === 'ECONNRESET') {
      socket.destroy()
      return
    }
    socket.end(`HTTP/1.1 ${badInputStatus(err.code)}\r\nConnection: close\r\n\r\n`)
  }
}

function badInputStatus(code: string | undefined): string {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return '431 Request Header Fields Too Large'
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return '408 Request Timeout'
    default:
      return '400 Bad Request'
  }
}

function headBytes({ rawHeaders, url }: IncomingMessage): number {
  // Each name and value is followed by two bytes on the wire.
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, url?.length ?? 0)
}
