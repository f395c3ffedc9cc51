/**
 * Sends requests to backend servers with Node's http client.
 *
 * Every failure states whether the request may have run: it did not run if no connection
 * was established, and the state is unknown after that.
 */
import { Agent, request, type IncomingMessage } from 'node:http'
import {
  Err,
  Ok,
  ResetDetector,
  readBytes,
  refuse,
  type Refusal,
  type Result,
  type RunState,
} from '@wagtailway/core'

export interface BackendRequestOptions {
  /** `host:port`. */
  readonly address: string
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer | string
  /** Inactivity of the connection after which the request fails, in milliseconds. */
  readonly progressTimeoutMs: number
  /** Aborts the request when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal
}

/** A response whose status and headers have arrived and whose body is still unread. */
export interface BackendResponse {
  readonly res: IncomingMessage
  readonly status: number
  /** Whether the body, which has ended, is complete as far as its connection tells. */
  readonly isComplete: () => boolean
}

/**
 * HTTP client that keeps connections to backend servers alive for reuse.
 *
 * @example
 * const client = BackendClient.create()
 * const response = await client.call({ address: '10.0.0.7:8000', ... })
 */
export class BackendClient {
  readonly #agent = new Agent({ keepAlive: true, scheduling: 'lifo' })

  static create(): BackendClient {
    return new BackendClient()
  }

  /** Sends a request and resolves when the response headers arrive. */
  call(opts: BackendRequestOptions): Promise<Result<BackendResponse, Refusal>> {
    return new Promise((resolve) => {
      let ran: RunState = 'not_run'
      let hasFailed = false
      let detector: ResetDetector | undefined
      const [host, port] = opts.address.split(':')
      const req = request({
        host,
        port: Number(port),
        method: opts.method,
        path: opts.path,
        headers: { ...opts.headers, 'content-length': Buffer.byteLength(opts.body) },
        agent: this.#agent,
        signal: opts.signal,
      })
      req.on('socket', (socket) => {
        // Node takes its own off after a whole response, also if the body is still being sent.
        if (!socket.listeners('error').includes(ignoreError))
          socket.on('error', ignoreError)
        const onConnect = (): void => {
          ran = 'unknown'
        }
        if (socket.connecting) socket.once('connect', onConnect)
        else onConnect()
        const ownDetector = ResetDetector.create(socket)
        detector = ownDetector
        req.once('close', () => {
          ownDetector.close()
        })
      })
      req.setTimeout(opts.progressTimeoutMs, () => {
        req.destroy(new Error('the backend server fell silent'))
      })
      req.on('response', (res) => {
        const isComplete = (): boolean => {
          if (!res.complete) return false
          // Node reports a reset as the normal end of a body that ends with its connection.
          return isFramed(res) || (!hasFailed && detector?.mayBeReset !== true)
        }
        resolve(Ok({ res, status: res.statusCode ?? 0, isComplete }))
      })
      req.on('error', (err) => {
        hasFailed = true
        resolve(Err(refuse('backend_failed', ran, `Backend server: ${err.message}.`)))
      })
      req.end(opts.body)
    })
  }

  close(): void {
    this.#agent.destroy()
  }
}

/** Statuses of responses without a body. */
const BODILESS_STATUSES: ReadonlySet<number | undefined> = new Set([204, 304])

/** Whether a response tells its end itself, and not by the end of its connection. */
function isFramed({ headers, statusCode }: IncomingMessage): boolean {
  return (
    'content-length' in headers ||
    'transfer-encoding' in headers ||
    BODILESS_STATUSES.has(statusCode)
  )
}

function ignoreError(): void {
  // The request has its response, or fails by itself.
}

/** Largest body of an unstreamed response, in bytes. */
const MAX_RESPONSE_BYTES = 16 * 1_048_576

/** Reads a whole response body; a connection that closes early is an error. */
export async function readResponseBody({
  res,
  isComplete,
}: Pick<BackendResponse, 'res' | 'isComplete'>): Promise<Result<Buffer, Refusal>> {
  const sizeHint = Number(res.headers['content-length'] ?? 0)
  const result = await readBytes(res, { maxBytes: MAX_RESPONSE_BYTES, sizeHint })
  switch (result.type) {
    case 'complete':
      // Without an error a broken connection ends the stream like a complete response.
      if (isComplete()) return Ok(result.bytes)
      return Err(refuse('backend_truncated', 'unknown', 'The answer broke off.'))
    case 'too_long':
    case 'no_memory':
      return Err(refuse('backend_invalid', 'unknown', 'The answer is too large.'))
    case 'too_fragmented':
      return Err(
        refuse(
          'backend_invalid',
          'unknown',
          'The answer comes in too many small chunks.',
        ),
      )
    case 'closed':
      return Err(refuse('backend_truncated', 'unknown', 'The answer broke off.'))
  }
}
