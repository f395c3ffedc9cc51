/** A caller of the gateway that keeps what it got. */
import { request, type Agent, type IncomingHttpHeaders } from 'node:http'

export interface FleetCall {
  /** @default '127.0.0.1' */
  readonly server?: string
  readonly port: number
  readonly method?: 'GET' | 'POST'
  readonly path: string
  readonly host?: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string
  readonly agent?: Agent
  /** The caller leaves after this time, in milliseconds. */
  readonly timeoutMs?: number
}

export interface FleetAnswer {
  /** Zero if there was none. */
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: string
  /** Whether the answer ended as its framing says. */
  readonly isWhole: boolean
}

const DEFAULT_TIMEOUT_MS = 10_000

const NO_ANSWER: FleetAnswer = { status: 0, headers: {}, body: '', isWhole: false }

/**
 * Sends one request; never rejects.
 *
 * @example
 * const { status } = await callFleet({ port, path: '/plain/7' })
 */
export function callFleet(call: FleetCall): Promise<FleetAnswer> {
  return new Promise((resolve) => {
    const { port, method = 'GET', path, body, agent } = call
    const headers = { host: call.host ?? 'app.example', ...call.headers }
    const req = request(
      {
        host: call.server ?? '127.0.0.1',
        port,
        method,
        path,
        headers,
        ...(agent && { agent }),
      },
      (res) => {
        const parts: Buffer[] = []
        res.on('data', (part: Buffer) => parts.push(part))
        res.on('error', () => undefined)
        res.on('close', () => {
          clearTimeout(timer)
          resolve({
            status: res.statusCode ?? 0,
            headers: res.headers,
            body: Buffer.concat(parts).toString(),
            isWhole: res.complete,
          })
        })
      },
    )
    const timer = setTimeout(() => {
      req.destroy()
    }, call.timeoutMs ?? DEFAULT_TIMEOUT_MS)
    req.on('error', () => {
      clearTimeout(timer)
      resolve(NO_ANSWER)
    })
    req.end(body)
  })
}

/** Ids of the events in a stream, in the order in which they came. */
export function eventIds(body: string): number[] {
  return [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id))
}
