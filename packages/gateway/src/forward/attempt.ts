/** One attempt: a request sent once to one backend server. */
import { request, type Agent, type ClientRequest, type IncomingMessage } from 'node:http'
import { readBlocks, type ByteBudget } from '@wagtailway/core'
import { ResetDetector } from '../http/resetDetector.js'
import { findInvalidResponseHead } from '../http/validateHead.js'
import type { ResponseMetadata } from '../model/requestMetadata.js'
import { endMarkOf } from '../paths/relayClient.js'
import { DialError, ServerConnections, relayOf } from './serverConnections.js'

/** Timeout for establishing a connection, in milliseconds; a healthy server takes 5. */
const CONNECT_TIMEOUT_MS = 500

/** Size from which a body that is longer than allowed may have no end, in bytes. */
const LONG_BODY_BYTES = 1_048_576

/** Informational responses before the response after which an attempt has failed. */
const MAX_INFORMATIONAL_RESPONSES = 16

/** Whether the server may have run a request that got no response. */
export type RunState = 'not_run' | 'may_have_run'

/** Why an attempt got no usable response. */
export interface AttemptFailure {
  readonly type: 'failed'
  readonly runState: RunState
  readonly reason:
    | 'connect_failed'
    | 'connect_timeout'
    | 'connection_lost'
    | 'cancelled'
    | 'wrong_answer'
    | 'unsendable'
  readonly detail: string
  /** Whether nothing listens on the server's port, as far as anyone can tell. */
  readonly isRefused: boolean
  /** Whether the server has failed, not only the path to it. */
  readonly isServerFailure: boolean
}

/** Status and headers of a response; the body is still to be read from `res`. */
export interface AttemptResponse {
  readonly type: 'answered'
  readonly status: number
  readonly metadata: ResponseMetadata
  readonly res: IncomingMessage
}

export interface AttemptRequest {
  readonly host: string
  readonly port: number
  /** Opens the connection or has one; without it, the attempt opens a direct one. */
  readonly agent: Agent | undefined
  readonly method: string
  readonly path: string
  readonly headers: readonly string[]
  readonly body: readonly Buffer[]
  readonly requestId: string | undefined
  readonly readResponseMetadata: (
    headers: NodeJS.Dict<string | string[]>,
  ) => ResponseMetadata
  /**
   * Called with the head of each response of the server, also if nobody waits for it any
   * more or it belongs to an earlier request.
   */
  readonly onResponseHead?: (status: number, metadata: ResponseMetadata) => void
}

/**
 * An attempt in progress. `head` resolves with the response head or the failure.
 *
 * @example
 * const attempt = Attempt.start(request)
 * const outcome = await attempt.head
 * attempt.cancel()
 */
export class Attempt {
  readonly head: Promise<AttemptResponse | AttemptFailure>
  #req: ClientRequest | undefined
  #isConnected = false
  #isClosed = false
  #hasConnectionFailed = false
  #relay: string | undefined
  #endMark: string | undefined
  #detector: ResetDetector | undefined
  #resolveHead: (outcome: AttemptResponse | AttemptFailure) => void = () => undefined

  private constructor(opts: AttemptRequest) {
    this.head = new Promise((resolve) => {
      this.#resolveHead = resolve
    })
    this.#send(opts)
  }

  static start(opts: AttemptRequest): Attempt {
    return new Attempt(opts)
  }

  /** Whether the server may have received the request. */
  get runState(): RunState {
    return this.#isConnected ? 'may_have_run' : 'not_run'
  }

  /** Instance that relays the connection; `undefined` for a direct one. */
  get relay(): string | undefined {
    return this.#relay
  }

  /**
   * Whether the body of a response that has ended is complete. If the body has neither a
   * length nor chunked encoding, Node reports a connection reset as a normal end, and the
   * end of a relay that was killed looks like the server's.
   *
   * @param endMark What follows the body, if it ends with `endMarkOf` the response.
   */
  isComplete(res: IncomingMessage, endMark: string | undefined): boolean {
    if (!res.complete) return false
    if (isFramed(res)) return true
    if (this.#relay !== undefined) return endMark !== undefined
    return !this.#hasConnectionFailed && this.#detector?.mayBeReset !== true
  }

  /**
   * Mark that follows the body of a response which is complete; `undefined` if the body tells
   * its end itself or comes on a direct connection.
   */
  endMarkOf(res: IncomingMessage): string | undefined {
    return isFramed(res) ? undefined : this.#endMark
  }

  /**
   * Calls `listener` once nothing of the request's body is kept for sending any more; maybe
   * twice.
   */
  onBodySent(listener: () => void): void {
    const req = this.#req
    if (!req || req.writableFinished || this.#isClosed) listener()
    else req.once('finish', listener).once('close', listener)
  }

  /** Closes the attempt's connection, so that the server stops working on the request. */
  cancel(): void {
    if (this.#isClosed) return
    this.#isClosed = true
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
        // Node accepts a flat list of names and values, which its types don't allow.
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
    const onConnected = (): void => {
      this.#isConnected = true
      clearTimeout(connectTimer)
    }
    req.on('socket', (socket) => {
      this.#relay = relayOf(socket)
      if (socket.connecting) socket.once('connect', onConnected)
      else onConnected()
      socket.setNoDelay(true)
      this.#endMark = endMarkOf(socket)
      const detector = ResetDetector.create(socket)
      this.#detector = detector
      req.once('close', () => {
        detector.close()
      })
    })
    req.on('error', (err) => {
      this.#hasConnectionFailed = true
      clearTimeout(connectTimer)
      const reason = this.#isConnected ? 'connection_lost' : 'connect_failed'
      this.#fail(reason, err.message, err instanceof DialError ? err : undefined)
    })
    let informationalCount = 0
    req.on('information', () => {
      informationalCount += 1
      if (informationalCount <= MAX_INFORMATIONAL_RESPONSES) return
      req.destroy()
      this.#fail('wrong_answer', 'informational responses without end')
    })
    req.on('response', (res) => {
      // Without a listener an error would end the process; the body's reader sees the close.
      res.on('error', () => undefined)
      try {
        this.#handleResponse(opts, res)
      } catch (err) {
        this.#reject(res, String(err))
      }
    })
    req.on('close', () => {
      clearTimeout(connectTimer)
      this.#isClosed = true
      this.#fail('connection_lost', 'connection closed before the response')
    })
    for (const block of opts.body.slice(0, -1)) req.write(block)
    req.end(opts.body.at(-1))
  }

  #handleResponse(opts: AttemptRequest, res: IncomingMessage): void {
    const status = res.statusCode ?? 0
    const invalid = findInvalidResponseHead(status, res.rawHeaders)
    if (invalid !== undefined) {
      this.#reject(res, invalid)
      return
    }
    const metadata = opts.readResponseMetadata(res.headers)
    opts.onResponseHead?.(status, metadata)
    if (metadata.requestId !== undefined && metadata.requestId !== opts.requestId) {
      // A late response to an earlier request on this connection.
      this.#reject(res, `response to request ${metadata.requestId}`)
      return
    }
    if (this.#req) {
      ServerConnections.recordIdleTimeout(
        this.#req,
        String(res.headers['keep-alive'] ?? ''),
      )
    }
    this.#resolveHead({ type: 'answered', status, metadata, res })
  }

  /** Closes a connection whose bytes are no response to the request. */
  #reject(res: IncomingMessage, detail: string): void {
    res.destroy()
    this.#req?.destroy()
    this.#fail('wrong_answer', detail)
  }

  #fail(reason: AttemptFailure['reason'], detail: string, dialError?: DialError): void {
    const { runState } = this
    const { isRefused = false, isServerFailure = false } = dialError ?? {}
    this.#resolveHead({
      type: 'failed',
      runState,
      reason,
      detail,
      isRefused,
      isServerFailure,
    })
  }
}

/** Statuses of responses without a body. */
const BODILESS_STATUSES: ReadonlySet<number | undefined> = new Set([204, 304])

/**
 * Whether a response tells its end, by a length, by chunks or as it has no body, and not by
 * its connection.
 */
export function isFramed({ headers, statusCode }: IncomingMessage): boolean {
  return (
    'content-length' in headers ||
    'transfer-encoding' in headers ||
    BODILESS_STATUSES.has(statusCode)
  )
}

/**
 * A complete body, or that it ended early, or was closed because it may never end: it is too
 * long, or comes in too many small chunks. A body for which there is no memory stays open and
 * paused after its first `blocks`, whose memory stays reserved.
 */
export type BodyResult =
  | { readonly type: 'complete'; readonly body: readonly Buffer[] }
  | { readonly type: 'no_memory'; readonly blocks: readonly Buffer[] }
  | { readonly type: 'broken' | 'too_long' }

export interface BodyLimits {
  readonly maxBytes: number
  /** Memory that is reserved for the body, and stays so once it is complete. */
  readonly budget: ByteBudget
}

/**
 * Reads a response body to its end; closes the connection of one that is too long.
 *
 * @example
 * const result = await readFullBody(attempt, head, { maxBytes: 1_048_576, budget })
 */
export async function readFullBody(
  attempt: Attempt,
  { res }: AttemptResponse,
  { maxBytes, budget }: BodyLimits,
): Promise<BodyResult> {
  const { 'content-length': length } = res.headers
  const result = await readBlocks(res, {
    maxBytes,
    budget,
    sizeHint: Number(length ?? 0),
    isSizeExact: length !== undefined,
    keepReserved: true,
    handOver: true,
  })
  switch (result.type) {
    case 'complete':
      return toBodyResult(attempt, res, result.blocks)
    case 'no_memory':
      return { type: 'no_memory', blocks: result.blocks ?? [] }
    case 'too_fragmented':
      return { type: 'too_long' }
    case 'too_long':
      return { type: result.byteCount > LONG_BODY_BYTES ? 'too_long' : 'broken' }
    case 'closed':
      return { type: 'broken' }
  }
}

/** Removes the mark that a relay has added to a body. */
function toBodyResult(
  attempt: Attempt,
  res: IncomingMessage,
  body: readonly Buffer[],
): BodyResult {
  const expected = attempt.endMarkOf(res)
  if (expected === undefined) {
    return attempt.isComplete(res, undefined)
      ? { type: 'complete', body }
      : { type: 'broken' }
  }
  const bytes = Buffer.concat(body)
  const bodyBytes = bytes.length - expected.length
  const isMarked = bytes.subarray(Math.max(0, bodyBytes)).equals(Buffer.from(expected))
  if (!attempt.isComplete(res, isMarked ? expected : undefined)) return { type: 'broken' }
  return { type: 'complete', body: [isMarked ? bytes.subarray(0, bodyBytes) : bytes] }
}
