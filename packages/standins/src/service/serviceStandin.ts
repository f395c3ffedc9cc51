/** Stand-in of a plain service beside the engines; it counts what it ran. */
import { JsonServer, sendJson, type RouteCall } from '../http/jsonServer.js'

/** One call that the service ran. */
export interface ServiceRun {
  readonly requestId: string
  readonly idempotencyKey: string
  readonly path: string
}

/**
 * Serves a plain service on loopback; every path under `/` is a call.
 *
 * @example
 * const service = await ServiceStandin.create({ port: 0 })
 */
export class ServiceStandin {
  readonly #runs: ServiceRun[] = []
  #server: JsonServer | undefined

  static async create(opts: { port: number }): Promise<ServiceStandin> {
    const standin = new ServiceStandin()
    standin.#server = await JsonServer.create({
      port: opts.port,
      routes: [
        {
          method: 'GET',
          pattern: /^\/admin\/runs$/,
          handle: ({ res }) => {
            sendJson(res, 200, standin.#runs)
          },
        },
        ...['GET', 'POST', 'PUT', 'DELETE'].map((method) => ({
          method,
          pattern: /^(\/.*)$/,
          handle: standin.#run.bind(standin),
        })),
      ],
    })
    return standin
  }

  get address(): string {
    return this.#server?.address ?? ''
  }

  get runs(): readonly ServiceRun[] {
    return this.#runs
  }

  async close(): Promise<void> {
    await this.#server?.close()
  }

  #run({ req, res, url, body }: RouteCall): void {
    this.#runs.push({
      requestId: String(req.headers['x-request-id'] ?? ''),
      idempotencyKey: String(req.headers['idempotency-key'] ?? ''),
      path: url.pathname,
    })
    sendJson(res, 200, { path: url.pathname, received: body.length })
  }
}
