/** One JSON call over Node's http client, with a deadline. */
import { request, type Agent } from 'node:http'

/** A page of the platform's store holds about a megabyte; lists of all pages are not read whole. */
const MAX_ANSWER_BYTES = 16_777_216

export interface JsonRequest {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  readonly url: string
  readonly body?: unknown
  /** Deadline of the whole call, in milliseconds. */
  readonly timeoutMs: number
  readonly agent?: Agent
  readonly headers?: Readonly<Record<string, string>>
  /**
   * Longest answer that is read, in bytes.
   * @default 16_777_216
   */
  readonly maxBytes?: number
  /** An earlier response; its body is used again if the text is the same. */
  readonly previous?: JsonResponse | undefined
}

export interface JsonResponse {
  readonly status: number
  /** Parsed body; `undefined` if it is empty. */
  readonly body: unknown
  readonly text: string
}

/**
 * Sends a request and reads the JSON answer; rejects on transport errors and timeouts.
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
      const parts: Buffer[] = []
      const maxBytes = req.maxBytes ?? MAX_ANSWER_BYTES
      let bytes = 0
      res.on('data', (part: Buffer) => {
        bytes += part.length
        if (bytes > maxBytes)
          fail(new Error(`${req.url} sent more than ${maxBytes} bytes`))
        else parts.push(part)
      })
      res.on('error', fail)
      res.on('close', () => {
        if (!res.complete)
          fail(new Error(`${req.url} closed before the end of the answer`))
      })
      res.on('end', () => {
        clearTimeout(timer)
        try {
          const text = Buffer.concat(parts).toString()
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
      fail(new Error(`${req.url} did not answer within ${req.timeoutMs} ms`))
    }, req.timeoutMs)
    outgoing.on('error', fail)
    outgoing.end(payload)
  })
}

function parseBody(text: string, previous: JsonResponse | undefined): unknown {
  if (text === previous?.text) return previous.body
  return text === '' ? undefined : JSON.parse(text)
}
