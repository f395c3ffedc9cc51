/** Limits what clients of the small servers hold: readiness, feeds, metrics, relays. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { monotonicClock } from '@wagtailway/core'
import { ConnectionRoom } from '../memory/connectionRoom.js'
import { hasTooManyFields, limitHeaderFields, type ClientLimit } from './clientLimit.js'
import { stopParsing } from './stopParsing.js'

/**
 * Connections of one small server: the largest fleet has 430 instances, each with one for
 * feeds at a time.
 */
const MAX_CONNECTIONS = 600

/** Answers that are owed on one connection; no client of these servers sends ahead. */
const MAX_OWED = 4

/** Time for a whole header section and for a whole request, in milliseconds. */
const HEADERS_TIMEOUT_MS = 5_000
const REQUEST_TIMEOUT_MS = 10_000

export interface SmallServerLimits {
  /**
   * Connections at which one without a request ends for a new one.
   *
   * @default 600
   */
  readonly maxConnections?: number
  /** Called with a limit that a client has reached. */
  readonly onLimit?: (limit: ClientLimit, host: string) => void
}

/**
 * Guards one small server. Its requests have no body: a connection on which one comes closes
 * behind the answer.
 *
 * @example
 * const guard = SmallServerGuard.create(server, { maxConnections: 300, onLimit })
 * server.on('request', (req, res) => { if (guard.admit(req, res)) res.end('ok') })
 */
export class SmallServerGuard {
  readonly #owed = new Map<Socket, number>()
  readonly #room: ConnectionRoom<Socket>

  private constructor(
    server: Server,
    private readonly limits: SmallServerLimits,
  ) {
    limitHeaderFields(server)
    server.headersTimeout = HEADERS_TIMEOUT_MS
    server.requestTimeout = REQUEST_TIMEOUT_MS
    this.#room = ConnectionRoom.create<Socket>({
      clock: monotonicClock,
      maxCount: limits.maxConnections ?? MAX_CONNECTIONS,
      // Their requests only read, so that none is harmed by an end.
      mayEnd: () => true,
      end: (socket) => {
        this.#end(socket, 'connections')
      },
    })
    server.on('connection', (socket: Socket) => {
      stopParsing(socket, () => socket.destroyed)
      if (!this.#room.tryAdd(socket)) {
        this.#end(socket, 'connections')
        return
      }
      this.#owed.set(socket, 0)
      socket.once('close', () => {
        this.release(socket)
      })
    })
  }

  static create(server: Server, limits: SmallServerLimits): SmallServerGuard {
    return new SmallServerGuard(server, limits)
  }

  /** Whether a request is answered; it has been refused otherwise. */
  admit(req: IncomingMessage, res: ServerResponse): boolean {
    const { socket } = req
    if (socket.destroyed) return false
    const owed = (this.#owed.get(socket) ?? 0) + 1
    if (owed > MAX_OWED) {
      this.#end(socket, 'pipelined')
      return false
    }
    this.#owed.set(socket, owed)
    this.#room.recordUse(socket)
    res.once('close', () => {
      const owedNow = this.#owed.get(socket)
      if (owedNow !== undefined) this.#owed.set(socket, owedNow - 1)
    })
    if (hasBody(req)) res.shouldKeepAlive = false
    if (!hasTooManyFields(req)) return true
    this.limits.onLimit?.('header_fields', socket.remoteAddress ?? '')
    res.shouldKeepAlive = false
    res.writeHead(431).end()
    return false
  }

  /** Forgets a connection that has closed or has another owner now. */
  release(socket: Socket): void {
    this.#room.remove(socket)
    this.#owed.delete(socket)
  }

  #end(socket: Socket, limit: ClientLimit): void {
    this.limits.onLimit?.(limit, socket.remoteAddress ?? '')
    socket.destroy()
  }
}

function hasBody({ headers }: IncomingMessage): boolean {
  return 'transfer-encoding' in headers || Number(headers['content-length'] ?? 0) > 0
}
