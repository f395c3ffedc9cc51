/** JSON requests over Node's HTTP client, with a timeout. */
import { request, type Agent } from 'node:http'

/**
 * Default limit of a response body, in bytes. A page of the platform's store holds
 * about a megabyte; a list of all pages is never read in one response.
 */
const MAX_RESPONSE_BYTES = 16_777_216

export interface JsonRequest {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  readonly url: string
  readonly body?: unknown
  /** Timeout of the whole exchange, including the body, in milliseconds. */
  readonly timeoutMs: number
  readonly agent?: Agent
  readonly headers?: Readonly<Record<string, string>>
  /**
   * Maximum size of the response body, in bytes.
   * @default 16_777_216
   */
  readonly maxBytes?: number
  /** An earlier response; its parsed body is reused if the text is unchanged. */
  readonly previous?: JsonResponse | undefined
}

export interface JsonResponse {
  readonly status: number
  /** Parsed body; `undefined` if it is empty. */
  readonly body: unknown
  readonly text: string
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
    const headers = {
      ...req.headers,
      ...(payload === undefined
        ? {}
        : {
            'content-type': 'application/json',
            'content-length': Buffer.byteLength(payload),
          }),
    }
    const options = {
      method: req.method,
      headers,
      ...(req.agent && { agent: req.agent }),
    }
    const outgoing = request(req.url, options, (res) => {
      const chunks: Buffer[] = []
      const maxBytes = req.maxBytes ?? MAX_RESPONSE_BYTES
      let byteCount = 0
      res.on('data', (chunk: Buffer) => {
        byteCount += chunk.length
        if (byteCount > maxBytes)
          fail(new Error(`${req.url} sent more than ${maxBytes} bytes`))
        else chunks.push(chunk)
      })
      res.on('error', fail)
      res.on('close', () => {
        if (!res.complete)
          fail(
            new Error(`${req.url} closed the connection before the end of the response`),
          )
      })
      res.on('end', () => {
        clearTimeout(timer)
        try {
          const text = Buffer.concat(chunks).toString()
          const body = parseBody(text, req.previous)
          resolve({ status: res.statusCode ?? 0, body, text })
        } catch (err) {
          fail(err)
        }
      })
    })
    const fail = (err: unknown): void => {
      clearTimeout(timer)
      outgoing.destroy()
      reject(err instanceof Error ? err : new Error(String(err)))
    }
    const timer = setTimeout(() => {
      fail(new Error(`${req.url} did not respond within ${req.timeoutMs} ms`))
    }, req.timeoutMs)
    outgoing.on('error', fail)
    outgoing.end(payload)
  })
}

function parseBody(text: string, previous: JsonResponse | undefined): unknown {
  if (text === previous?.text) return previous.body
  return text === '' ? undefined : JSON.parse(text)
}
