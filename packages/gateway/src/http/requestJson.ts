/** JSON requests over Node's HTTP client, with a timeout. */
import {
  request,
  type Agent,
  type ClientRequest,
  type IncomingHttpHeaders,
  type IncomingMessage,
} from 'node:http'
import { promisify } from 'node:util'
import { gunzip } from 'node:zlib'
import { monotonicClock, readBytes, startTimer } from '@wagtailway/core'
import { TransferTimeout } from './transferTimeout.js'
import { limitDepth } from './limitDepth.js'

const gunzipAsync = promisify(gunzip)

/**
 * Default limit of a response body, in bytes. A page of the platform's store holds
 * about a megabyte; a list of all pages is never read in one response.
 */
const MAX_RESPONSE_BYTES = 16_777_216

export interface JsonRequest {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  readonly url: string
  readonly body?: unknown
  /**
   * Timeout until the response begins and between two parts of it, in milliseconds. The
   * whole exchange may take five times as long.
   */
  readonly timeoutMs: number
  /**
   * Additional time until the response begins, in milliseconds, for a call that waits.
   * @default 0
   */
  readonly waitMs?: number
  /**
   * Whether the response may be compressed.
   * @default false
   */
  readonly acceptsGzip?: boolean
  readonly agent?: Agent
  readonly headers?: Readonly<Record<string, string>>
  /**
   * Maximum size of the response body, in bytes, compressed and not.
   * @default 16_777_216
   */
  readonly maxBytes?: number
  /** An earlier response; its parsed body is reused if the text is unchanged. */
  readonly previous?: JsonResponse | undefined
}

export interface JsonResponse {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  /** Parsed body; `undefined` if it is empty. */
  readonly body: unknown
  readonly text: string
  /** Time from the first to the last byte of the response, in milliseconds. */
  readonly transferMs: number
}

/**
 * Sends a request and parses the JSON response; rejects on transport errors, timeouts,
 * responses that are too large and invalid JSON.
 *
 * @example
 * const { status, body } = await requestJson({ method: 'GET', url, timeoutMs: 1_000 })
 */
export function requestJson(req: JsonRequest): Promise<JsonResponse> {
  return new Promise((resolve, reject) => {
    const payload = req.body === undefined ? undefined : JSON.stringify(req.body)
    const outgoing = request(req.url, {
      method: req.method,
      headers: requestHeaders(req, payload),
      ...(req.agent && { agent: req.agent }),
    })
    const fail = (err: unknown): void => {
      timeout.cancel()
      outgoing.destroy()
      reject(err instanceof Error ? err : new Error(String(err)))
    }
    const timeout = TransferTimeout.create({
      startTimer,
      silenceMs: req.timeoutMs,
      ...(req.waitMs !== undefined && { waitMs: req.waitMs }),
      onTimeout: (detail) => {
        fail(new Error(`${req.url}: ${detail}`))
      },
    })
    outgoing.on('error', fail)
    outgoing.once('socket', (socket) => {
      // Node takes its own off after a whole response, also if the body is still being sent.
      if (!socket.listeners('error').includes(ignoreError))
        socket.on('error', ignoreError)
    })
    readResponse(req, outgoing, timeout).then(resolve, fail)
    outgoing.end(payload)
  })
}

function ignoreError(): void {
  // The request has its response, or fails by itself.
}

function requestHeaders(
  req: JsonRequest,
  payload: string | undefined,
): Record<string, string | number> {
  return {
    ...req.headers,
    ...(req.acceptsGzip === true && { 'accept-encoding': 'gzip' }),
    ...(payload !== undefined && {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(payload),
    }),
  }
}

async function readResponse(
  req: JsonRequest,
  outgoing: ClientRequest,
  timeout: TransferTimeout,
): Promise<JsonResponse> {
  const maxBytes = req.maxBytes ?? MAX_RESPONSE_BYTES
  const res = await new Promise<IncomingMessage>((resolve) => {
    outgoing.on('response', resolve)
  })
  const startedAtMs = monotonicClock()
  const received = await readBytes(res, {
    maxBytes,
    onChunk: () => {
      timeout.recordProgress()
    },
  })
  timeout.cancel()
  if (received.type !== 'complete')
    throw new Error(
      `${req.url}: response ${received.type} after ${received.byteCount} bytes`,
    )
  const transferMs = monotonicClock() - startedAtMs
  const isCompressed = res.headers['content-encoding'] === 'gzip'
  const bytes = isCompressed
    ? await gunzipAsync(received.bytes, { maxOutputLength: maxBytes })
    : received.bytes
  const text = bytes.toString()
  const body = parseBody(text, req.previous)
  return { status: res.statusCode ?? 0, headers: res.headers, body, text, transferMs }
}

function parseBody(text: string, previous: JsonResponse | undefined): unknown {
  if (text === previous?.text) return previous.body
  return text === '' ? undefined : limitDepth(JSON.parse(text))
}
