/** HTTP client that calls plain services through a router. */
import { randomUUID } from 'node:crypto'
import { Agent, request, type IncomingMessage } from 'node:http'
import type { ChatResult } from './chatCaller.js'

export interface ServiceCall {
  /** `host:port` of a router. */
  readonly address: string
  readonly apiKey: string
  readonly className: string
  readonly service: string
  readonly path: string
  /**
   * Whether the call must run at most once; if so, it is a POST with an idempotency key.
   */
  readonly nonIdempotent: boolean
}

/**
 * Calls stand-in services, which echo the requested path.
 *
 * @example
 * const result = await ServiceCaller.create().send(call)
 */
export class ServiceCaller {
  readonly #agent = new Agent({ keepAlive: true })

  static create(): ServiceCaller {
    return new ServiceCaller()
  }

  /** Sends a call; never rejects. */
  send(call: ServiceCall): Promise<ChatResult> {
    return new Promise((resolve) => {
      const [host, port] = call.address.split(':')
      const req = request({
        host,
        port: Number(port),
        method: call.nonIdempotent ? 'POST' : 'GET',
        path: `/v1/services/${call.service}${call.path}`,
        agent: this.#agent,
        headers: {
          authorization: `Bearer ${call.apiKey}`,
          'wagtailway-class': call.className,
          ...(call.nonIdempotent && {
            'wagtailway-non-idempotent': 'true',
            'idempotency-key': randomUUID(),
          }),
        },
      })
      const fail = (): void => {
        resolve(toResult(call, undefined, '{}'))
      }
      req.on('error', fail)
      req.on('response', (res) => {
        let text = ''
        res.setEncoding('utf8')
        res.on('data', (part: string) => (text += part))
        res.on('error', fail)
        res.on('end', () => {
          resolve(toResult(call, res, text))
        })
      })
      req.end()
    })
  }

  close(): void {
    this.#agent.destroy()
  }
}

function toResult(
  call: ServiceCall,
  res: IncomingMessage | undefined,
  text: string,
): ChatResult {
  const body = JSON.parse(text) as { path?: string; error?: { type: string } }
  const header = (name: string): string => String(res?.headers[name] ?? '')
  const nowMs = performance.now()
  return {
    status: res?.statusCode ?? 0,
    requestId: header('x-request-id'),
    versionKey: call.service,
    sessionToken: '',
    whole: body.path === call.path,
    refusal: res ? (body.error?.type ?? '') : 'transport',
    ran: header('wagtailway-ran'),
    firstTokenMs: nowMs,
    firstTokenAtMs: nowMs,
  }
}
