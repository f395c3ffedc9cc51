/** One send of a request to one backend server. */
import { request, type Agent, type ClientRequest, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { ResponseMetadata } from '../model/requestMetadata.js'
import { ServerConnections } from './serverConnections.js'

/** Longest time to establish a connection, in milliseconds; healthy ones take 5. */
const CONNECT_TIMEOUT_MS = 500

/** Whether a request that got no answer may have run. */
export type RunState = 'not_run' | 'may_have_run'

/** Why a send has no usable answer. */
export interface AttemptFailure {
  readonly type: 'failed'
  readonly ran: RunState
  readonly reason:
    | 'connect_failed'
    | 'connect_timeout'
    | 'connection_lost'
    | 'cancelled'
    | 'wrong_answer'
    | 'unsendable'
  readonly detail: string
}

/** The head of an answer; its body follows. */
export interface AttemptAnswer {
  readonly type: 'answered'
  readonly status: number
  readonly facts: ResponseMetadata
  readonly res: IncomingMessage
}

export interface AttemptRequest {
  readonly host: string
  readonly port: number
  /** Without one the request gets a connection of its own. */
  readonly agent: Agent | undefined
  readonly method: string
  readonly path: string
  readonly headers: readonly string[]
  readonly body: Buffer
  readonly requestId: string | undefined
  readonly readAnswer: (headers: NodeJS.Dict<string | string[]>) => ResponseMetadata
}

/**
 * A request on its way.
 *
 * @example
 * const attempt = Attempt.start(request)
 * const outcome = await attempt.head
 * attempt.cancel()
 */
export class Attempt {
  readonly head: Promise<AttemptAnswer | AttemptFailure>
  #req: ClientRequest | undefined
  #isConnected = false
  #isOver = false
  #hasFailed = false
  #settle: (outcome: AttemptAnswer | AttemptFailure) => void = () => undefined

  private constructor(opts: AttemptRequest) {
    this.head = new Promise((resolve) => {
      this.#settle = resolve
    })
    this.#send(opts)
  }

  static start(opts: AttemptRequest): Attempt {
    return new Attempt(opts)
  }

  /** Whether the server may have received the request. */
  get ran(): RunState {
    return this.#isConnected ? 'may_have_run' : 'not_run'
  }

  /**
   * Whether an answer's body is whole, once it has ended. Node takes a reset of a body
   * without a length for its end.
   */
  isWhole(res: IncomingMessage): boolean {
    const { headers } = res
    const hasLength = 'content-length' in headers || 'transfer-encoding' in headers
    return res.complete && (hasLength || !this.#hasFailed)
  }

  /** Breaks the send off; the connection is closed, which stops the server's work. */
  cancel(): void {
    if (this.#isOver) return
    this.#isOver = true
    this.#req?.destroy()
    this.#fail('cancelled', 'cancelled by this process')
  }

  #send(opts: AttemptRequest): void {
    let req: ClientRequest
    try {
      req = request({
        host: opts.host,
        port: opts.port,
        method: opts.method,
        path: opts.path,
        // Node takes name, value, name, value, though the type says otherwise.
        headers: opts.headers as unknown as Record<string, string>,
        agent: opts.agent ?? false,
      })
    } catch (err) {
      this.#fail('unsendable', String(err))
      return
    }
    this.#req = req
    const connectTimer = setTimeout(() => {
      if (this.#isConnected) return
      req.destroy()
      this.#fail('connect_timeout', `no connection within ${CONNECT_TIMEOUT_MS} ms`)
    }, CONNECT_TIMEOUT_MS)
    const connected = (): void => {
      this.#isConnected = true
      clearTimeout(connectTimer)
    }
    req.on('socket', (socket) => {
      if (socket.connecting) socket.once('connect', connected)
      else connected()
      socket.setNoDelay(true)
      this.#watchEnd(socket)
    })
    req.on('error', (err) => {
      this.#hasFailed = true
      clearTimeout(connectTimer)
      this.#fail(this.#isConnected ? 'connection_lost' : 'connect_failed', err.message)
    })
    req.on('response', (res) => {
      this.#answered(opts, res)
    })
    req.on('close', () => {
      clearTimeout(connectTimer)
      this.#isOver = true
      this.#fail('connection_lost', 'closed before an answer')
    })
    req.end(opts.body)
  }

  /**
   * Notes an end that comes in the same turn of the event loop as the last bytes. libuv
   * reports a reset that way if it arrives together with bytes; a proper end comes in a
   * later turn.
   */
  #watchEnd(socket: Socket): void {
    let isTurnOfBytes = false
    const onData = (): void => {
      if (isTurnOfBytes) return
      isTurnOfBytes = true
      setImmediate(() => {
        isTurnOfBytes = false
      })
    }
    const onEnd = (): void => {
      if (isTurnOfBytes) this.#hasFailed = true
    }
    socket.on('data', onData)
    socket.on('end', onEnd)
    // A kept connection serves other requests after this one.
    this.#req?.once('close', () => {
      socket.off('data', onData)
      socket.off('end', onEnd)
    })
  }

  #answered(opts: AttemptRequest, res: IncomingMessage): void {
    // The body's reader sees how it ends; without a listener an error ends the process.
    res.on('error', () => undefined)
    const facts = opts.readAnswer(res.headers)
    if (facts.requestId !== undefined && facts.requestId !== opts.requestId) {
      // A late answer to an earlier request on this connection.
      res.destroy()
      this.#req?.destroy()
      this.#fail('wrong_answer', `answer to request ${facts.requestId}`)
      return
    }
    if (this.#req) {
      ServerConnections.noteIdleTimeout(
        this.#req,
        String(res.headers['keep-alive'] ?? ''),
      )
    }
    this.#settle({ type: 'answered', status: res.statusCode ?? 0, facts, res })
  }

  #fail(reason: AttemptFailure['reason'], detail: string): void {
    this.#settle({ type: 'failed', ran: this.ran, reason, detail })
  }
}

/** A body that ended early, grew too long, or is whole. */
export type BodyOutcome =
  | { readonly type: 'whole'; readonly body: Buffer }
  | { readonly type: 'broken'; readonly detail: string }

/**
 * Reads a whole answer; one that is cut, reset or too long counts as broken.
 *
 * @example
 * const body = await readWhole(attempt, answer, 1_048_576)
 */
export function readWhole(
  attempt: Attempt,
  { res }: AttemptAnswer,
  maxBytes: number,
): Promise<BodyOutcome> {
  return new Promise((resolve) => {
    const parts: Buffer[] = []
    let bytes = 0
    res.on('data', (part: Buffer) => {
      bytes += part.length
      parts.push(part)
      if (bytes <= maxBytes) return
      resolve({ type: 'broken', detail: `more than ${maxBytes} bytes` })
      res.destroy()
    })
    res.on('end', () => {
      if (attempt.isWhole(res)) resolve({ type: 'whole', body: Buffer.concat(parts) })
    })
    res.on('close', () => {
      resolve({ type: 'broken', detail: 'ended early' })
    })
  })
}
