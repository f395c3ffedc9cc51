/** The caller's side of one request: its body, its disconnection and its response. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import {
  ClientPresence,
  bindOwner,
  discardBody,
  nextPoll,
  readBlocks,
  type ByteBudget,
} from '@wagtailway/core'
import type { HeaderDialect, RequestMetadata } from '../model/requestMetadata.js'
import type { Undo } from './exchange.js'

/** Why this process answers a request itself instead of relaying a server's response. */
export type RefusalReason =
  | 'no_configuration'
  | 'no_route'
  | 'unknown_key'
  | 'unknown_model'
  | 'bad_request'
  | 'body_too_large'
  | 'body_too_fragmented'
  | 'headers_too_large'
  | 'no_memory'
  | 'no_server'
  | 'zones_evacuated'
  | 'overloaded'
  | 'shutting_down'
  | 'server_refused'
  | 'server_failed'
  | 'part_quarantined'
  | 'request_quarantined'
  | 'servers_limited'
  | 'servers_held'
  | 'servers_full'
  | 'servers_cold'
  | 'shed'
  | 'over_share'
  | 'timeout'

/** HTTP status of each reason; 421, 429 and 503 guarantee that the request has not run. */
const STATUS_BY_REASON: Readonly<Record<RefusalReason, number>> = {
  no_configuration: 503,
  no_route: 404,
  unknown_key: 401,
  unknown_model: 421,
  bad_request: 400,
  body_too_large: 413,
  body_too_fragmented: 400,
  headers_too_large: 431,
  no_memory: 503,
  no_server: 503,
  zones_evacuated: 503,
  overloaded: 503,
  shutting_down: 503,
  server_refused: 503,
  server_failed: 502,
  part_quarantined: 503,
  request_quarantined: 503,
  servers_limited: 503,
  servers_held: 503,
  servers_full: 503,
  servers_cold: 503,
  shed: 503,
  over_share: 429,
  timeout: 504,
}

/**
 * Retry delay sent to callers when no server is available, in milliseconds: servers whose
 * registrations expired register again within two seconds.
 */
export const NO_SERVER_RETRY_AFTER_MS = 1_200

/**
 * Size and time, in bytes and milliseconds, from which the body of a refused request isn't
 * read any further and its connection is closed.
 */
const MAX_DISCARDED_BYTES = 8_388_608
const MAX_DISCARD_MS = 10_000

/** The request body, or why it could not be read. */
export type RequestBodyResult =
  | { readonly type: 'complete'; readonly blocks: readonly Buffer[] }
  | { readonly type: 'too_large' | 'too_fragmented' | 'broken' }
  /** `neededBytes` is its size, as far as it is known. */
  | { readonly type: 'no_memory'; readonly neededBytes: number }

/**
 * What is done for a request: it waits for its turn on its connection, its body is read, a
 * server is selected, a server works on it, or its answer is being sent.
 */
export type RequestState = 'turn' | 'body' | 'placement' | 'server' | 'answer'

/** What a server of requests does for each of them. */
export interface CallerHooks {
  /** Called before the head of the response is sent. */
  readonly onHead: () => void
  /** Calls a function once the request has ended, unless it is undone before. */
  readonly defer: (release: () => void) => Undo
  /** Resolves to `true` once the request may be sent on, to `false` if it never may. */
  readonly turn: true | Promise<boolean>
}

const NO_HOOKS: CallerHooks = {
  onHead: () => undefined,
  defer: () => () => undefined,
  turn: true,
}

/**
 * One caller request and the response to it.
 *
 * @example
 * const caller = Caller.create(req, res, dialect, performance.now())
 * caller.onDisconnect(() => attempt.cancel())
 */
export class Caller {
  readonly metadata: RequestMetadata
  state: RequestState = 'body'
  #hasDisconnected = false
  #hasFailed = false
  #closesOnRefusal = false
  readonly #disconnectListeners: (() => void)[] = []

  private constructor(
    readonly req: IncomingMessage,
    readonly res: ServerResponse,
    private readonly dialect: HeaderDialect,
    readonly arrivedAtMs: number,
    private readonly hooks: CallerHooks,
  ) {
    this.metadata = dialect.readRequest(req.headers)
    res.sendDate = false
    const disconnect = (): void => {
      if (!res.writableFinished) this.#disconnect()
    }
    const presence = ClientPresence.of(req.socket)
    const undo = presence.onLeave(disconnect)
    res.on('close', bindOwner(disconnect)).on('close', undo)
    this.#hasDisconnected = presence.leftBy !== undefined
    // Without a listener, a write after the end would be an error of the process.
    res.on('error', () => res.destroy())
  }

  static create(
    req: IncomingMessage,
    res: ServerResponse,
    dialect: HeaderDialect,
    arrivedAtMs: number,
    hooks: CallerHooks = NO_HOOKS,
  ): Caller {
    return new Caller(req, res, dialect, arrivedAtMs, hooks)
  }

  /** Calls `release` once the request has ended, whatever has gone wrong. */
  defer(release: () => void): Undo {
    return this.hooks.defer(release)
  }

  /**
   * Sends the head of the response.
   *
   * @param headers Names and values in turn.
   */
  writeHead(status: number, headers: readonly string[]): void {
    this.hooks.onHead()
    this.state = 'answer'
    this.res.writeHead(status, [...headers])
  }

  /**
   * Whether the caller left its connection before the response was complete, or gets no
   * response any more for an error of this program.
   */
  get hasDisconnected(): boolean {
    return this.#hasDisconnected
  }

  /** Whether the request was ended for an error of this program. */
  get hasFailed(): boolean {
    return this.#hasFailed
  }

  /**
   * Waits until few enough requests before this one on its connection are in progress; `false`
   * if its caller leaves before.
   */
  async awaitTurn(): Promise<boolean> {
    const { turn } = this.hooks
    if (turn === true) return true
    this.state = 'turn'
    return turn
  }

  /**
   * Whether the caller has left, as far as anything that has come on its connection tells.
   * Asked before each run at a server: `hasDisconnected` knows only what has been read.
   */
  async hasLeft(): Promise<boolean> {
    await nextPoll()
    return this.#hasDisconnected
  }

  /**
   * Calls `listener` when the caller leaves its connection before the response is complete,
   * or at once if it already has.
   */
  onDisconnect(listener: () => void): void {
    if (this.#hasDisconnected) listener()
    else this.#disconnectListeners.push(bindOwner(listener))
  }

  /**
   * Ends the request after an error of this program, unless its response is complete: with a
   * failure if none has begun, otherwise by closing the connection.
   */
  fail(): void {
    if (this.#hasFailed || this.res.writableEnded) return
    // An error in its events leaves the runtime's parser unfit for the next request.
    this.closeOnRefusal()
    this.refuse('server_failed')
    this.#hasFailed = true
    this.#disconnect()
  }

  #disconnect(): void {
    this.#hasDisconnected = true
    for (const listener of this.#disconnectListeners.splice(0)) listener()
  }

  /** Size of the request body in bytes, or `undefined` if its head doesn't tell it. */
  get bodyBytes(): number | undefined {
    const { headers } = this.req
    if ('transfer-encoding' in headers) return undefined
    return Number(headers['content-length'] ?? 0)
  }

  /**
   * Reads the request body, which may hold at most `maxBytes`. Its memory stays reserved in
   * `budget`: that of a body of known size before its first byte.
   */
  async readBody(maxBytes: number, budget: ByteBudget): Promise<RequestBodyResult> {
    const { bodyBytes } = this
    const result = await readBlocks(this.req, {
      maxBytes,
      sizeHint: bodyBytes ?? 0,
      isSizeExact: bodyBytes !== undefined,
      budget,
      keepReserved: true,
      keepOpen: true,
    })
    switch (result.type) {
      case 'complete':
        return result
      case 'too_long':
        return { type: 'too_large' }
      case 'too_fragmented':
        return { type: 'too_fragmented' }
      case 'no_memory':
        return { type: 'no_memory', neededBytes: bodyBytes ?? result.byteCount }
      case 'closed':
        return { type: 'broken' }
    }
  }

  /** Makes a refusal close the connection at once, so that nothing more of the body is read. */
  closeOnRefusal(): void {
    this.#closesOnRefusal = true
    this.res.shouldKeepAlive = false
  }

  /**
   * Answers with a refusal by this process and returns its status. If a response has
   * already begun or the caller has disconnected, only closes the connection.
   */
  refuse(reason: RefusalReason, retryAfterMs?: number): number {
    const { res } = this
    const status = STATUS_BY_REASON[reason]
    // The answer that tells of the failure may still be on its way.
    if (this.#hasFailed) return status
    if (res.headersSent || this.#hasDisconnected) {
      res.destroy()
      return status
    }
    const body = Buffer.from(JSON.stringify({ reason }))
    if (reason === 'body_too_fragmented') this.closeOnRefusal()
    this.writeHead(status, [
      ...this.dialect.localResponseHeaders(this.metadata.requestId, retryAfterMs),
      'Content-Type',
      'application/json',
      'Content-Length',
      String(body.length),
    ])
    if (this.req.readableEnded || this.#closesOnRefusal) {
      res.end(body)
      // Node.js doesn't tell the reader of a body that its connection is closed then.
      if (this.#closesOnRefusal) res.once('close', () => this.req.destroy())
      return status
    }
    // Closing a connection with unread bytes resets it, and the caller may miss the answer.
    res.write(body)
    for (const event of ['end', 'close']) this.req.once(event, () => res.end())
    discardBody(this.req, { maxBytes: MAX_DISCARDED_BYTES, timeoutMs: MAX_DISCARD_MS })
    return status
  }
}
