/** HTTP server for callers. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http'
import { Server as NetServer, type Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { runOwned, type ConnectionEnd } from '@wagtailway/core'
import { Caller } from '../forward/caller.js'
import { Exchange } from '../forward/exchange.js'
import { handleRequest } from '../forward/handleRequest.js'
import type { GatewayNode } from '../gatewayNode.js'
import type { CallerLimits } from '../model/config.js'
import { reportFailure } from '../observe/failures.js'
import { LISTEN_BACKLOG, type Listen } from '../sockets/sockets.js'
import { CallerConnections } from './callerConnections.js'
import { recordClientLimit } from './clientLimit.js'
import { HeaderFields, ORDINARY_HEADER_FIELDS } from './headerFields.js'
import { ownConnections } from './ownConnections.js'
import { stopParsing } from './stopParsing.js'

/**
 * Maximum size of the headers that the parser accepts, in bytes; the configured limit is
 * checked after parsing.
 */
const MAX_PARSED_HEADER_BYTES = 65_536

/**
 * Bytes by which the parser accepts more than the configured limit: a refusal of a request that
 * is whole tells its reason.
 */
const PARSED_HEADER_MARGIN_BYTES = 1_024

/**
 * Time that idle connections stay open beyond the configured timeout, in milliseconds.
 */
const IDLE_TIMEOUT_MARGIN_MS = 1_000

/** Interval at which connections are checked for header timeouts, in milliseconds. */
const HEADER_TIMEOUT_CHECK_MS = 500

/**
 * Interval at which connections on which nothing is owed are closed while draining, in
 * milliseconds.
 */
const SWEEP_INTERVAL_MS = 50

/** Retry delay of a request for whose head there is no room, in milliseconds. */
const HEAD_RETRY_AFTER_MS = 500

/**
 * Time after the last deadline in which a caller may stand still before the rest of its
 * answer is given up, in milliseconds; also that of unused connections while nothing is owed.
 */
const UNREAD_ANSWER_MS = 3_000

/** Maximum number of requests in the log line about a caller that has left. */
const MAX_LOGGED_REQUESTS = 8

type DropReason = 'connection_ends' | 'pipelined'

/**
 * Accepts caller requests over HTTP.
 *
 * @example
 * const server = await CallerServer.create(node, sockets.required('callers', address))
 * await server.drain(() => stopsAtMs)
 */
export class CallerServer {
  readonly #server: Server
  readonly #connections: CallerConnections
  #acceptedCount = 0
  /** Response to the latest request of each connection. */
  readonly #lastResponses = new WeakMap<Duplex, ServerResponse>()
  /** Callers of the requests that are handled. */
  readonly #callers = new WeakMap<ServerResponse, Caller>()
  readonly #recordLimit: ReturnType<typeof recordClientLimit>
  #maxHeaderBytes = MAX_PARSED_HEADER_BYTES
  readonly #fields = new WeakMap<Duplex, HeaderFields>()

  private constructor(private readonly node: GatewayNode) {
    this.#recordLimit = recordClientLimit(node.opts, 'callers')
    this.#connections = CallerConnections.create({
      clock: node.opts.clock,
      maxCount: node.memory.clients.maxConnections,
      onEnd: ({ remoteAddress = '' }, unusedMs) => {
        this.#recordLimit('connections', remoteAddress, {
          unusedMs: Math.round(unusedMs),
        })
      },
      onLeave: (socket, by, unanswered) => {
        this.#recordLeave(socket, by, unanswered)
      },
    })
    this.#server = createServer(
      {
        maxHeaderSize: MAX_PARSED_HEADER_BYTES,
        connectionsCheckingInterval: HEADER_TIMEOUT_CHECK_MS,
        requireHostHeader: false,
        requestTimeout: 0,
        noDelay: true,
      },
      (req, res) => {
        this.#handle(req, res).catch((err: unknown) => {
          const about = { work: 'request', id: req.url }
          reportFailure(node.opts, 'exchange_failed', about, err)
          res.destroy()
        })
      },
    )
    this.#server.maxHeadersCount = ORDINARY_HEADER_FIELDS
    this.#server.on('connection', (socket) => {
      this.#acceptedCount += 1
      this.#connections.add(socket)
      const tryHold = (): (() => void) | undefined =>
        node.memory.clients.tryHoldLargestHead(this.#maxHeaderBytes)
      this.#fields.set(socket, HeaderFields.create(socket, tryHold))
      stopParsing(socket, () => this.#connections.isEnding(socket))
    })
    this.#server.on('clientError', (err: NodeJS.ErrnoException, socket) => {
      this.#handleClientError(err, socket as Socket)
    })
    this.#server.on('connect', (_req, socket: Duplex) => {
      socket.destroy()
    })
    ownConnections(this.#server, (err, id) => {
      reportFailure(node.opts, 'exchange_failed', { work: 'connection', id }, err)
    })
  }

  static async create(node: GatewayNode, listen: Listen): Promise<CallerServer> {
    const server = new CallerServer(node)
    await listen(server.#server)
    return server
  }

  /** Port that the server listens on. */
  get port(): number {
    const address = this.#server.address()
    return typeof address === 'object' && address ? address.port : 0
  }

  setLimits(limits: CallerLimits): void {
    this.#maxHeaderBytes = limits.maxHeaderBytes
    // The server gives it to the parser of each new connection.
    const maxHeaderSize = limits.maxHeaderBytes + PARSED_HEADER_MARGIN_BYTES
    Object.assign(this.#server, { maxHeaderSize })
    this.#server.headersTimeout = limits.headerTimeoutMs
    this.#server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_TIMEOUT_MARGIN_MS
  }

  /**
   * Stops accepting connections, closes those on which nothing is owed and waits for the
   * others. What has come before, while the process was busy, is accepted and read first.
   *
   * @param endsAtMs Returns when all remaining connections are closed, on the monotonic clock;
   *   `undefined` while there is time until the last answer that is owed has been read.
   */
  async drain(endsAtMs: () => number | undefined): Promise<void> {
    const { clock } = this.node.opts
    const startedAtMs = clock()
    await this.#acceptWaiting()
    const closed = new Promise<void>((resolve) => {
      // The method of HTTP servers also cuts answers that are not yet written.
      NetServer.prototype.close.call(this.#server, () => {
        resolve()
      })
    })
    this.#connections.closeUnowed()
    let movedAtMs = startedAtMs
    let seenBytes = 0
    let isCut = false
    const sweep = (): void => {
      if (isCut) return
      this.#connections.closeUnowed()
      const { owedCount, writtenBytes } = this.#connections
      const isMoving =
        owedCount > 0 &&
        (writtenBytes !== seenBytes || clock() < this.node.lastDeadlineMs)
      seenBytes = writtenBytes
      if (isMoving) movedAtMs = clock()
      isCut = clock() >= (endsAtMs() ?? movedAtMs + UNREAD_ANSWER_MS)
      if (isCut) this.#closeAll(clock() - startedAtMs)
    }
    // Timers that are due run before what has come is read; `setImmediate` runs after it.
    const sweepTimer = setInterval(() => {
      setImmediate(sweep)
    }, SWEEP_INTERVAL_MS)
    await closed
    clearInterval(sweepTimer)
    this.#server.close()
  }

  /** Accepts the connections that wait; the event loop accepts as few as one in a turn. */
  async #acceptWaiting(): Promise<void> {
    for (let turn = 0; turn < LISTEN_BACKLOG; turn += 1) {
      const countBefore = this.#acceptedCount
      await new Promise((resolve) => setImmediate(resolve))
      if (this.#acceptedCount === countBefore) return
    }
  }

  #closeAll(afterMs: number): void {
    const { owedCount, unwrittenBytes } = this.#connections
    if (owedCount > 0)
      this.node.opts.log('answers_cut', {
        owedCount,
        unwrittenBytes,
        afterMs: Math.round(afterMs),
      })
    this.#connections.closeAll()
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { node } = this
    this.#lastResponses.set(req.socket, res)
    const arrivedAtMs = node.opts.clock()
    const begun = this.#connections.begin(req, res)
    if (begun.type === 'dropped') {
      this.#recordDrop(req, begun.reason)
      return
    }
    const fields = this.#fields.get(req.socket)
    const isComplete = fields?.take() !== 'incomplete'
    const releaseHead = isComplete
      ? node.memory.clients.tryHoldHead(req.rawHeaders)
      : undefined
    // Room for trailers is kept until the next request: its head may be read before this closes.
    if (releaseHead) res.once('close', releaseHead)
    const exchange = Exchange.create(node.opts, () => {
      caller.fail()
    })
    const caller = runOwned(exchange, () =>
      Caller.create(req, res, node.opts.dialect, arrivedAtMs, {
        onHead: () => {
          if (node.isDraining && this.#connections.isLast(req, res))
            res.shouldKeepAlive = false
        },
        defer: (release) => exchange.defer(release),
        turn: begun.turn,
      }),
    )
    this.#callers.set(res, caller)
    exchange.id = caller.metadata.requestId
    node.requestsInProgress += 1
    node.opts.metrics.inProgress.set(node.requestsInProgress)
    await exchange.run(() => this.#answer(caller, releaseHead !== undefined))
    node.requestsInProgress -= 1
    node.opts.metrics.inProgress.set(node.requestsInProgress)
    if (res.closed) exchange.forget()
    else
      res.once('close', () => {
        exchange.forget()
      })
  }

  async #answer(caller: Caller, hasRoom: boolean): Promise<void> {
    if (headerBytes(caller.req) > this.#maxHeaderBytes) {
      caller.refuse('headers_too_large')
      this.node.opts.metrics.refusals.inc({ reason: 'headers_too_large' })
    } else if (!hasRoom) this.#refuseForMemory(caller)
    else await handleRequest(this.node, caller)
  }

  /** Refuses a request for its head and closes its connection, which keeps the head. */
  #refuseForMemory(caller: Caller): void {
    const { metrics } = this.node.opts
    caller.closeOnRefusal()
    caller.refuse('no_memory', HEAD_RETRY_AFTER_MS)
    metrics.requests.inc({ outcome: 'refused' })
    metrics.refusals.inc({ reason: 'no_memory' })
    const { socket, url: path } = caller.req
    const id = caller.metadata.requestId
    this.#recordLimit('header_memory', socket.remoteAddress ?? '', { id, path })
  }

  /** Records a caller that left while answers were owed to it. */
  #recordLeave(
    { remoteAddress: host }: Socket,
    by: ConnectionEnd,
    unanswered: readonly ServerResponse[],
  ): void {
    const { metrics, log, clock } = this.node.opts
    const requests = unanswered.map((res) => {
      const caller = this.#callers.get(res)
      const state = caller?.state ?? 'turn'
      metrics.callersLeft.inc({ state })
      const afterMs = caller && Math.round(clock() - caller.arrivedAtMs)
      return { id: caller?.metadata.requestId, state, afterMs }
    })
    log('caller_left', {
      host,
      by,
      loopDelayMs: Math.round(this.node.loopDelayMs),
      count: requests.length,
      requests: requests.slice(0, MAX_LOGGED_REQUESTS),
    })
  }

  /** Records a request that doesn't run and gets no answer: its connection closes. */
  #recordDrop({ url: path, socket }: IncomingMessage, reason: DropReason): void {
    const { metrics, log } = this.node.opts
    metrics.refusals.inc({ reason })
    if (reason === 'connection_ends') log('request_dropped', { path, reason })
    else this.#recordLimit(reason, socket.remoteAddress ?? '', { path })
  }

  /**
   * Answers input that is not a valid HTTP request, unless responses are owed on the
   * connection: then only closes it, after those to requests that are whole.
   */
  #handleClientError(err: NodeJS.ErrnoException, socket: Socket): void {
    const response = this.#lastResponses.get(socket)
    const isBetweenResponses = !response || response.writableFinished
    this.node.opts.metrics.refusals.inc({ reason: err.code ?? 'bad_input' })
    if (!socket.writable || err.code === 'ECONNRESET') {
      socket.destroy()
      return
    }
    // What is wrong came behind requests that are whole: they are answered.
    if (response?.req.complete === true && this.#connections.endOnceAnswered(socket))
      return
    if (!isBetweenResponses) {
      socket.destroy()
      return
    }
    socket.end(`HTTP/1.1 ${clientErrorStatus(err.code)}\r\nConnection: close\r\n\r\n`)
  }
}

function clientErrorStatus(code: string | undefined): string {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return '431 Request Header Fields Too Large'
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return '408 Request Timeout'
    default:
      return '400 Bad Request'
  }
}

function headerBytes({ rawHeaders, url }: IncomingMessage): number {
  // On the wire, two bytes follow each name (colon, space) and each value (CRLF).
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, url?.length ?? 0)
}
