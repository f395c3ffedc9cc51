/**
 * Relays connections of other entry instances to backend servers. It decides nothing about
 * requests: bytes pass unchanged, and only instances may ask, only for listed servers.
 */
import { createServer, type IncomingMessage, type Server } from 'node:http'
import type { Socket } from 'node:net'
import { bindOwner, nextPoll, runOwned } from '@wagtailway/core'
import { ownConnections } from '../http/ownConnections.js'
import { ResetDetector } from '../http/resetDetector.js'
import { SmallServerGuard, type SmallServerLimits } from '../http/smallServerGuard.js'
import type { BackendServer } from '../model/backendServer.js'
import type { Listen } from '../sockets/sockets.js'
import type { DirectResult, PendingConnection } from './dial.js'
import { END_MARK_HEADER, FAILURE_HEADER, SERVER_HEADER } from './relayClient.js'

/** Time without data after which a relayed connection is closed, in milliseconds. */
const IDLE_TIMEOUT_MS = 60_000

/** Time after which a silent peer is probed by TCP, in milliseconds. */
const KEEP_ALIVE_MS = 2_000

/** Time after which a backend server counts as not responding, in milliseconds. */
const CONNECT_TIMEOUT_MS = 250

/** Bytes of an instance that are kept until its connection has been polled again. */
const MAX_KEPT_BYTES = 262_144

/** Why a connection is not relayed. */
export type RelayRefusal =
  | 'unknown_instance'
  | 'unknown_server'
  | 'unwilling_server'
  | 'evacuated_zone'
  | 'leaving'
  | 'busy'
  | 'no_path'

/** A request to relay a connection, and its result. */
export interface RelayRequest {
  /** Incarnation of the backend server. */
  readonly server: string
  /** Host of the instance that asked. */
  readonly host: string
  readonly result: 'opened' | 'refused' | 'no_response' | RelayRefusal
}

export interface RelayServerOptions {
  readonly listen: Listen
  /** Decides on a request from a host; a server if its connection may be relayed. */
  readonly admit: (
    host: string,
    incarnation: string,
    openCount: number,
  ) => BackendServer | RelayRefusal
  readonly connect: (server: BackendServer) => PendingConnection<DirectResult<Socket>>
  /** Another server that shows, if it can be reached, that paths from here work. */
  readonly otherServer: (server: BackendServer) => BackendServer | undefined
  readonly onRequest: (request: RelayRequest) => void
  /** Called when a request of a host could not be handled. */
  readonly onError: (err: unknown, host: string) => void
  /** Called with the number of relayed connections when it changes. */
  readonly onOpenCount: (count: number) => void
  /** Limits of what clients hold, beside the connections that are relayed. */
  readonly limits?: SmallServerLimits
}

/**
 * Serves the relayed connections of one instance.
 *
 * @example
 * const relayServer = await RelayServer.create(options)
 * relayServer.close()
 */
export class RelayServer {
  readonly #server: Server
  readonly #open = new Set<Socket>()

  private constructor(private readonly opts: RelayServerOptions) {
    this.#server = createServer((req, res) => {
      if (!guard.admit(req, res)) return
      req.resume()
      res.writeHead(404).end()
    })
    const guard = SmallServerGuard.create(this.#server, opts.limits ?? {})
    this.#server.on('connect', (req: IncomingMessage, socket: Socket, head: Buffer) => {
      guard.release(socket)
      // A requester that has gone is noticed by the close that follows.
      socket.on('error', () => undefined)
      const host = socket.remoteAddress ?? ''
      const end = (err: unknown): void => {
        this.opts.onError(err, host)
        socket.destroy()
      }
      runOwned({ work: 'relayed connection', id: host, end }, () => {
        // The end of one that is relayed comes behind what it has sent.
        socket.once(
          'end',
          bindOwner(() => {
            if (!this.#open.has(socket)) socket.destroy()
          }),
        )
        if (head.length > 0) socket.unshift(head)
        this.#relay(req, socket).catch(end)
      })
    })
    ownConnections(this.#server, (err, host = '') => {
      this.opts.onError(err, host)
    })
  }

  static async create(opts: RelayServerOptions): Promise<RelayServer> {
    const relayServer = new RelayServer(opts)
    await opts.listen(relayServer.#server)
    return relayServer
  }

  /** Port that the server listens on. */
  get port(): number {
    const address = this.#server.address()
    return typeof address === 'object' && address ? address.port : 0
  }

  /** Number of connections that are relayed now. */
  get openCount(): number {
    // An error may have swallowed the event of a close.
    for (const socket of this.#open) if (socket.destroyed) this.#open.delete(socket)
    return this.#open.size
  }

  close(): void {
    this.#server.close()
    this.#server.closeAllConnections()
    for (const socket of this.#open) socket.destroy()
  }

  async #relay(req: IncomingMessage, socket: Socket): Promise<void> {
    const host = socket.remoteAddress ?? ''
    const incarnation = String(req.headers[SERVER_HEADER] ?? '')
    const admitted = this.opts.admit(host, incarnation, this.openCount)
    const report = (result: RelayRequest['result']): void => {
      this.opts.onRequest({ server: incarnation, host, result })
    }
    if (typeof admitted === 'string') {
      refuse(socket, admitted)
      report(admitted)
      return
    }
    const result = await this.#connect(admitted, socket)
    if (result.type === 'failed') {
      const failure = result.failure === 'refused' ? 'refused' : 'no_response'
      const refusal = (await this.#hasPath(admitted)) ? failure : 'no_path'
      refuse(socket, refusal)
      report(refusal)
      return
    }
    if (socket.destroyed) {
      result.connection.destroy()
      return
    }
    this.#join(socket, result.connection, req.headers[END_MARK_HEADER])
    report('opened')
  }

  /**
   * Whether the failure of a connection tells something about the server: if another server
   * can't be reached either, the paths from here are the cause.
   */
  async #hasPath(failed: BackendServer): Promise<boolean> {
    const other = this.opts.otherServer(failed)
    if (!other) return true
    const result = await this.#connect(other)
    if (result.type === 'failed') return false
    result.connection.destroy()
    return true
  }

  async #connect(
    server: BackendServer,
    requester?: Socket,
  ): Promise<DirectResult<Socket>> {
    const pending = this.opts.connect(server)
    const timer = setTimeout(pending.cancel, CONNECT_TIMEOUT_MS)
    requester?.once('close', pending.cancel)
    const result = await pending.result
    clearTimeout(timer)
    requester?.off('close', pending.cancel)
    return result
  }

  #join(socket: Socket, upstream: Socket, endMark: string | string[] | undefined): void {
    this.#open.add(socket)
    this.opts.onOpenCount(this.#open.size)
    socket.once(
      'close',
      bindOwner(() => {
        this.#open.delete(socket)
        this.opts.onOpenCount(this.#open.size)
        upstream.destroy()
      }),
    )
    for (const end of [socket, upstream]) {
      end.setNoDelay(true)
      end.setKeepAlive(true, KEEP_ALIVE_MS)
      end.setTimeout(
        IDLE_TIMEOUT_MS,
        bindOwner(() => end.destroy()),
      )
    }
    socket.write('HTTP/1.1 200 OK\r\n\r\n')
    passBytes(socket, upstream, { isRequester: true })
    passBytes(upstream, socket, { endMark: endMark?.toString() })
    // The server stops working on a request once its connection has closed.
    socket.on(
      'end',
      bindOwner(() => upstream.destroy()),
    )
  }
}

/**
 * Passes bytes on. A connection that is reset resets the other one, so that a response whose
 * end is the end of its connection is not taken for complete.
 *
 * @param opts.endMark Sent after the last byte if the connection ends normally.
 * @param opts.isRequester Whether nothing that came is passed on once the connection has ended.
 */
function passBytes(
  from: Socket,
  to: Socket,
  opts: { endMark?: string | undefined; isRequester?: boolean },
): void {
  const { endMark, isRequester = false } = opts
  const detector = ResetDetector.create(from)
  const resume = bindOwner(() => from.resume())
  const write = (chunk: Buffer): void => {
    // What comes behind the end of the other side is dropped, so that it passes its answer.
    if (!to.writable || to.write(chunk)) return
    from.pause()
    to.once('drain', resume)
  }
  const onData = bindOwner(isRequester ? writeAfterPoll(from, to, write) : write)
  // A paused connection would not notice its own end.
  to.once('close', resume)
  const onEnd = bindOwner(() => {
    if (endMark === undefined || detector.mayBeReset) to.end()
    else to.end(endMark)
  })
  const onError = bindOwner(() => {
    if (!to.destroyed) reset(to)
  })
  const onClose = bindOwner(() => {
    if (!to.writableEnded) to.destroy()
  })
  from.on('data', onData).on('end', onEnd).on('error', onError).on('close', onClose)
}

/**
 * Returns a listener that writes what a connection sends once it has been polled again: its
 * end may lie unread behind a request, and then closes the other side before.
 */
function writeAfterPoll(
  from: Socket,
  to: Socket,
  write: (chunk: Buffer) => void,
): (chunk: Buffer) => void {
  let kept: Buffer[] = []
  let keptBytes = 0
  const writeKept = (): void => {
    const chunks = kept
    kept = []
    keptBytes = 0
    for (const chunk of chunks) write(chunk)
    if (!to.writableNeedDrain) from.resume()
  }
  return (chunk) => {
    if (kept.length === 0) void nextPoll().then(bindOwner(writeKept))
    kept.push(chunk)
    keptBytes += chunk.length
    if (keptBytes >= MAX_KEPT_BYTES) from.pause()
  }
}

/**
 * Resets a connection. While one is being shut down, Node can't reset it, and would leave it
 * open for ever; all bytes are with the system then.
 */
function reset(socket: Socket): void {
  if (socket.writableEnded && socket.writableLength === 0) socket.destroy()
  else socket.resetAndDestroy()
}

function refuse(socket: Socket, reason: string): void {
  // A connection whose bytes nobody reads would not notice its end.
  socket.resume()
  socket.end(`HTTP/1.1 503 Service Unavailable\r\n${FAILURE_HEADER}: ${reason}\r\n\r\n`)
}
