/**
 * Stand-in of one of the users' backend servers: plain answers and streams of events
 * that can be resumed, and the ways in which they go wrong.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http'
import type { AddressInfo } from 'node:net'

/** What becomes of a request. */
export type ReplicaFate =
  | 'answer'
  /** Runs and answers 500. */
  | 'error'
  /** Refuses without running. */
  | 'shed'
  /** Runs and resets the connection before the answer. */
  | 'lose'
  /** Resets the connection in the middle of the answer. */
  | 'cut'
  /** Runs and never answers. */
  | 'hang'

/** One request that a backend server ran. */
export interface ReplicaRun {
  readonly requestId: string
  readonly path: string
  readonly model: string | undefined
  readonly workspace: string | undefined
  readonly firstEvent: number
  readonly atMs: number
}

export interface ReplicaOptions {
  readonly id: string
  /** Events of a whole stream. */
  readonly events?: number
  readonly eventMs?: number
  /** Decides on each request. */
  readonly fate?: (req: IncomingMessage) => ReplicaFate
  /** Confidence in an answer of a model. */
  readonly confidence?: (model: string) => number
}

const EVENTS = 5
const EVENT_MS = 5

/**
 * Serves as one backend server on loopback.
 *
 * @example
 * const replica = await ReplicaStandin.create({ id: 'i-1' })
 * replica.runs.length // requests that it has run
 */
export class ReplicaStandin {
  readonly runs: ReplicaRun[] = []
  fate: (req: IncomingMessage) => ReplicaFate
  readonly #server: Server

  private constructor(private readonly opts: ReplicaOptions) {
    this.fate = opts.fate ?? (() => 'answer')
    this.#server = createServer((req, res) => {
      this.#serve(req, res).catch(() => {
        res.destroy()
      })
    })
    this.#server.keepAliveTimeout = 60_000
  }

  static async create(opts: ReplicaOptions): Promise<ReplicaStandin> {
    const replica = new ReplicaStandin(opts)
    await new Promise<void>((resolve) => {
      replica.#server.listen(0, '127.0.0.1', resolve)
    })
    return replica
  }

  get id(): string {
    return this.opts.id
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`
  }

  /** Entry of this server in the store. */
  entry(changes: Readonly<Record<string, unknown>> = {}): unknown {
    return {
      service: 'plain',
      address: this.address,
      zone: 'z1',
      version: 'v1',
      slots: 6,
      state: 'ready',
      sequence: 1,
      born: 1,
      ...changes,
    }
  }

  async close(): Promise<void> {
    const closed = new Promise((resolve) => this.#server.close(resolve))
    this.#server.closeAllConnections()
    await closed
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    for await (const part of req) void part
    const { headers } = req
    const expected = headers['x-expected-instance']
    if (expected !== undefined && expected !== this.opts.id) {
      res.writeHead(421, { 'x-not-executed': '1' }).end()
      return
    }
    const fate = this.fate(req)
    if (fate === 'shed') {
      res.writeHead(503, { 'x-not-executed': '1' }).end()
      return
    }
    const firstEvent = Number(headers['last-event-id'] ?? 0) + 1
    this.runs.push({
      requestId: String(headers['x-request-id']),
      path: req.url ?? '',
      model: text(headers['x-model']),
      workspace: text(headers['x-tenant']),
      firstEvent,
      atMs: performance.now(),
    })
    if (fate === 'hang') return
    if (fate === 'lose') req.socket.resetAndDestroy()
    else if (headers['accept'] === 'text/event-stream') {
      await this.#stream(req, res, firstEvent, fate)
    } else this.#answer(req, res, fate)
  }

  #answer(req: IncomingMessage, res: ServerResponse, fate: ReplicaFate): void {
    const body = `${req.method ?? ''} ${req.url ?? ''} by ${this.opts.id}`
    const status = fate === 'error' ? 500 : 200
    res.writeHead(status, { ...signed(req), 'content-length': body.length })
    if (fate === 'cut') {
      res.write(body.slice(0, 5), () => req.socket.resetAndDestroy())
    } else res.end(body)
  }

  async #stream(
    req: IncomingMessage,
    res: ServerResponse,
    firstEvent: number,
    fate: ReplicaFate,
  ): Promise<void> {
    const { events = EVENTS, eventMs = EVENT_MS, confidence = () => 100 } = this.opts
    const model = text(req.headers['x-model']) ?? ''
    if (fate === 'error') {
      res.writeHead(500, signed(req)).end('failed')
      return
    }
    res.writeHead(200, {
      ...signed(req),
      'content-type': 'text/event-stream',
      'x-confidence': String(confidence(model)),
    })
    for (let id = firstEvent; id <= events; id += 1) {
      res.write(`id: ${id}\ndata: ${model} ${id}\n\n`)
      if (fate === 'cut' && id >= events / 2) {
        res.write(`id: ${id + 1}\nda`, () => req.socket.resetAndDestroy())
        return
      }
      await new Promise((resolve) => setTimeout(resolve, eventMs))
    }
    res.end()
  }
}

function signed({ headers }: IncomingMessage): Record<string, string> {
  return { 'x-request-id': String(headers['x-request-id']), 'x-response-signature': 's' }
}

function text(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value
}
