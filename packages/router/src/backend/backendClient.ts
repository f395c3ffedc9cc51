/**
 * Calls of backend servers over Node's http client.
 *
 * Every failure says truthfully whether the request may have run: it certainly
 * didn't before the connection stood; after that nobody knows.
 */
import { Agent, request, type IncomingMessage } from 'node:http'
import {
  Err,
  Ok,
  refuse,
  type Refusal,
  type Result,
  type RunState,
} from '@wagtailway/core'

export interface BackendCallOptions {
  /** `host:port`. */
  readonly address: string
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer | string
  /** Silence after which the answer counts as lost, in milliseconds. */
  readonly progressTimeoutMs: number
  /** Ends the call early: the caller went away or its deadline passed. */
  readonly signal: AbortSignal
}

/** Headers of an answer whose body is still to be read. */
export interface BackendAnswer {
  readonly res: IncomingMessage
  readonly status: number
}

/**
 * Keeps connections to backend servers.
 *
 * @example
 * const client = BackendClient.create()
 * const answer = await client.call({ address: '10.0.0.7:8000', ... })
 */
export class BackendClient {
  readonly #agent = new Agent({ keepAlive: true, scheduling: 'lifo' })

  static create(): BackendClient {
    return new BackendClient()
  }

  /** Sends a request and waits for the headers of the answer. */
  call(opts: BackendCallOptions): Promise<Result<BackendAnswer, Refusal>> {
    return new Promise((resolve) => {
      let ran: RunState = 'not_run'
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
        const connected = (): void => {
          ran = 'unknown'
        }
        if (socket.connecting) socket.once('connect', connected)
        else connected()
      })
      req.setTimeout(opts.progressTimeoutMs, () => {
        req.destroy(new Error('the backend server fell silent'))
      })
      req.on('response', (res) => {
        resolve(Ok({ res, status: res.statusCode ?? 0 }))
      })
      req.on('error', (err) => {
        resolve(Err(refuse('backend_failed', ran, `Backend server: ${err.message}.`)))
      })
      req.end(opts.body)
    })
  }

  close(): void {
    this.#agent.destroy()
  }
}

/** Largest plain answer of a backend server, in bytes. */
const MAX_ANSWER_BYTES = 16 * 1_048_576

/** Reads a whole body; a connection that ends early is an error. */
export async function readAnswer(res: IncomingMessage): Promise<Result<Buffer, Refusal>> {
  const parts: Buffer[] = []
  let size = 0
  try {
    for await (const part of res) {
      parts.push(part as Buffer)
      size += (part as Buffer).length
      if (size > MAX_ANSWER_BYTES) {
        res.destroy()
        return Err(refuse('backend_invalid', 'unknown', 'The answer is too large.'))
      }
    }
  } catch (err) {
    const message = err instanceof Error ? err.message : String(err)
    return Err(
      refuse('backend_truncated', 'unknown', `The answer broke off: ${message}.`),
    )
  }
  return Ok(Buffer.concat(parts))
}
