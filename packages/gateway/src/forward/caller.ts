/** The caller's side of one request: its body, its leaving, its answer. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { HeaderDialect, RequestMetadata } from '../model/requestMetadata.js'

/** Why a request ends with an answer of this process's own. */
export type OwnReason =
  | 'no_configuration'
  | 'no_route'
  | 'unknown_key'
  | 'bad_request'
  | 'body_too_large'
  | 'headers_too_large'
  | 'no_server'
  | 'overloaded'
  | 'shutting_down'
  | 'server_refused'
  | 'server_failed'
  | 'timeout'

/** Status of each reason; 429 and 503 promise that the request has not run. */
const STATUS: Readonly<Record<OwnReason, number>> = {
  no_configuration: 503,
  no_route: 404,
  unknown_key: 401,
  bad_request: 400,
  body_too_large: 413,
  headers_too_large: 431,
  no_server: 503,
  overloaded: 503,
  shutting_down: 503,
  server_refused: 503,
  server_failed: 502,
  timeout: 504,
}

/**
 * When a caller comes back that found no server, in milliseconds: servers whose entries
 * lapsed register again within two seconds.
 */
export const NO_SERVER_RETRY_MS = 1_200

/** The body, or why there is none. */
export type ReadBody = Buffer | 'too_large' | 'broken'

/**
 * One request of a caller.
 *
 * @example
 * const caller = Caller.create(req, res, dialect, performance.now())
 * caller.onLeft(() => attempt.cancel())
 */
export class Caller {
  readonly facts: RequestMetadata
  #hasLeft = false
  readonly #onLeft: (() => void)[] = []

  private constructor(
    readonly req: IncomingMessage,
    readonly res: ServerResponse,
    private readonly dialect: HeaderDialect,
    readonly arrivedAtMs: number,
  ) {
    this.facts = dialect.readRequest(req.headers)
    res.sendDate = false
    res.on('close', () => {
      if (res.writableFinished) return
      this.#hasLeft = true
      for (const act of this.#onLeft) act()
    })
  }

  static create(
    req: IncomingMessage,
    res: ServerResponse,
    dialect: HeaderDialect,
    arrivedAtMs: number,
  ): Caller {
    return new Caller(req, res, dialect, arrivedAtMs)
  }

  /** Whether the caller has closed its connection. */
  get hasLeft(): boolean {
    return this.#hasLeft
  }

  /** Calls `act` once the caller closes its connection before the whole answer. */
  onLeft(act: () => void): void {
    if (this.#hasLeft) act()
    else this.#onLeft.push(act)
  }

  /** Reads the body, at most `maxBytes` of it. */
  readBody(maxBytes: number): Promise<ReadBody> {
    const { req } = this
    return new Promise((resolve) => {
      const parts: Buffer[] = []
      let bytes = 0
      req.on('data', (part: Buffer) => {
        bytes += part.length
        if (bytes <= maxBytes) parts.push(part)
        else resolve('too_large')
      })
      req.on('end', () => {
        resolve(Buffer.concat(parts))
      })
      req.on('error', () => {
        resolve('broken')
      })
      req.on('close', () => {
        resolve('broken')
      })
    })
  }

  /** Answers in this process's own name; returns the status. */
  refuse(reason: OwnReason, retryAfterMs?: number): number {
    const { res } = this
    const status = STATUS[reason]
    if (res.headersSent || this.#hasLeft) {
      res.destroy()
      return status
    }
    const body = Buffer.from(JSON.stringify({ reason }))
    res.writeHead(status, [
      ...this.dialect.localResponseHeaders(this.facts.requestId, retryAfterMs),
      'Content-Type',
      'application/json',
      'Content-Length',
      String(body.length),
    ])
    res.end(body)
    return status
  }
}
