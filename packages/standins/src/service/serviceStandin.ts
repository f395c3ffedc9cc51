/** Stand-in for a plain service, which records the calls that it ran. */
import { setTimeout as delay } from 'node:timers/promises'
import { z } from 'zod'
import { JsonServer, sendJson, type Route, type RouteCall } from '../http/jsonServer.js'

export const serviceFaultsSchema = z.object({
  /** Number of next calls that run and fail with status 500. */
  failNext: z.number().int().nonnegative(),
  /** Number of next calls that run and never get a response. */
  silentNext: z.number().int().nonnegative(),
  /** Added to the latency of each call, in milliseconds. */
  slowMs: z.number().nonnegative(),
})

export type ServiceFaults = z.infer<typeof serviceFaultsSchema>

/** One call that the service ran. */
export interface ServiceRun {
  readonly requestId: string
  readonly idempotencyKey: string
  readonly path: string
  /** When it ran, in milliseconds since the epoch. */
  readonly atMs: number
}

/** Receives each call when it runs. */
export type RunListener = (run: ServiceRun) => void

/**
 * Serves a plain service on loopback; every path under `/` is a call.
 *
 * @example
 * const service = await ServiceStandin.create({ port: 0 })
 */
export class ServiceStandin {
  readonly #runs: ServiceRun[] = []
  #faults: ServiceFaults = { failNext: 0, silentNext: 0, slowMs: 0 }
  #server: JsonServer | undefined

  private constructor(private readonly onRun: RunListener) {}

  static async create(
    opts: { port: number },
    onRun: RunListener = () => undefined,
  ): Promise<ServiceStandin> {
    const standin = new ServiceStandin(onRun)
    standin.#server = await JsonServer.create({
      port: opts.port,
      routes: standin.#routes(),
    })
    return standin
  }

  get address(): string {
    return this.#server?.address ?? ''
  }

  get runs(): readonly ServiceRun[] {
    return this.#runs
  }

  setFaults(faults: Partial<ServiceFaults>): void {
    this.#faults = { ...this.#faults, ...faults }
  }

  async close(): Promise<void> {
    await this.#server?.close()
  }

  #routes(): Route[] {
    return [
      {
        method: 'GET',
        pattern: /^\/admin\/runs$/,
        handle: ({ res }) => {
          sendJson(res, 200, this.#runs)
        },
      },
      {
        method: 'POST',
        pattern: /^\/admin\/faults$/,
        handle: ({ res, body }) => {
          this.setFaults(serviceFaultsSchema.partial().parse(JSON.parse(body)))
          sendJson(res, 200, this.#faults)
        },
      },
      ...['GET', 'POST', 'PUT', 'DELETE'].map((method) => ({
        method,
        pattern: /^(\/.*)$/,
        handle: this.#run.bind(this),
      })),
    ]
  }

  async #run({ req, res, url, body }: RouteCall): Promise<void> {
    const run = {
      requestId: String(req.headers['x-request-id'] ?? ''),
      idempotencyKey: String(req.headers['idempotency-key'] ?? ''),
      path: url.pathname,
      atMs: Date.now(),
    }
    this.#runs.push(run)
    this.onRun(run)
    if (this.#takeFault('silentNext')) return
    await delay(this.#faults.slowMs)
    if (this.#takeFault('failNext')) sendJson(res, 500, { error: 'the service failed' })
    else sendJson(res, 200, { path: url.pathname, received: body.length })
  }

  #takeFault(fault: 'failNext' | 'silentNext'): boolean {
    if (this.#faults[fault] === 0) return false
    this.#faults = { ...this.#faults, [fault]: this.#faults[fault] - 1 }
    return true
  }
}
