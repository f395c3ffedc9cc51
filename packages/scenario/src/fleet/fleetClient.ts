/** HTTP client for tests that call a gateway. */
import { request, type Agent, type IncomingHttpHeaders } from 'node:http'

export interface FleetRequest {
  /** @default '127.0.0.1' */
  readonly server?: string
  readonly port: number
  readonly method?: 'GET' | 'POST'
  readonly path: string
  readonly host?: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string
  readonly agent?: Agent
  /**
   * Time after which the client destroys the request, in milliseconds.
   *
   * @default 10_000
   */
  readonly timeoutMs?: number
}

export interface FleetResponse {
  /** Zero if there was no response. */
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: string
  /** Whether the whole response was received, as its HTTP framing tells. */
  readonly isWhole: boolean
}

const DEFAULT_TIMEOUT_MS = 10_000

const NO_RESPONSE: FleetResponse = { status: 0, headers: {}, body: '', isWhole: false }

/**
 * Sends one request. Never rejects: if there is no response, the status is zero.
 *
 * @example
 * const { status } = await sendToFleet({ port, path: '/plain/7' })
 */
export function sendToFleet(opts: FleetRequest): Promise<FleetResponse> {
  return new Promise((resolve) => {
    const { port, method = 'GET', path, body, agent } = opts
    const headers = { host: opts.host ?? 'app.example', ...opts.headers }
    const req = request(
      {
        host: opts.server ?? '127.0.0.1',
        port,
        method,
        path,
        headers,
        ...(agent && { agent }),
      },
      (res) => {
        const chunks: Buffer[] = []
        res.on('data', (chunk: Buffer) => chunks.push(chunk))
        res.on('error', () => undefined)
        res.on('close', () => {
          clearTimeout(timer)
          resolve({
            status: res.statusCode ?? 0,
            headers: res.headers,
            body: Buffer.concat(chunks).toString(),
            isWhole: res.complete,
          })
        })
      },
    )
    const timer = setTimeout(() => {
      req.destroy()
    }, opts.timeoutMs ?? DEFAULT_TIMEOUT_MS)
    req.on('error', () => {
      clearTimeout(timer)
      resolve(NO_RESPONSE)
    })
    req.end(body)
  })
}

/** Ids of the events in a stream, in the order of their arrival. */
export function eventIds(body: string): number[] {
  return [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id))
}
