/**
 * Stand-in for one of the users' backend servers: plain responses and resumable event
 * streams, with faults.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { ReplicaRoom } from './replicaRoom.js'

/** How a replica treats a request. */
export type ReplicaBehaviour =
  | 'answer'
  /** Runs the request and responds with status 500. */
  | 'error'
  /** Refuses the request without running it. */
  | 'shed'
  /** Runs the request and resets the connection before the response. */
  | 'lose'
  /** Runs the request and resets the connection in the middle of the response. */
  | 'cut'
  /** Runs the request and never responds. */
  | 'hang'
  /**
   * Begins a stream or runs another request, then the replica ends: its port is closed and
   * all its connections are reset.
   */
  | 'crash'

/** One request that a replica ran. */
export interface ReplicaRun {
  readonly requestId: string
  readonly path: string
  readonly model: string | undefined
  readonly workspace: string | undefined
  /** Ids of the parts of the prompt, in its order. */
  readonly promptParts: readonly string[]
  /** Id of the first event of the response; above 1 if the request resumes a stream. */
  readonly firstEvent: number
  readonly body: string
  /** Start of the run, in milliseconds of `performance.now()`. */
  readonly atMs: number
}

export interface ReplicaOptions {
  readonly id: string
  /** Number of events in a complete stream. */
  readonly events?: number
  /** Time between events, in milliseconds. */
  readonly eventMs?: number
  /** Returns the time until the response of a request that is no stream, in milliseconds. */
  readonly responseMs?: (req: IncomingMessage) => number
  /** Returns the size of a response that is no stream, in bytes; spaces fill it up. */
  readonly responseBytes?: (req: IncomingMessage) => number
  /** Returns how to treat a request. */
  readonly behaviour?: (req: IncomingMessage, body: string) => ReplicaBehaviour
  /** Called when the replica has crashed. */
  readonly onCrash?: () => void
  /**
   * Room for requests: those beyond the slots and the queue are refused. Without it there is
   * room for all.
   */
  readonly room?: { readonly slots: number; readonly queueLimit: number }
  /** Time after which a replica that fell starts again, in milliseconds. */
  readonly restartMs?: number
  /** Called when a replica that fell has started again. */
  readonly onRestart?: () => void
  /** Confidence in the output of a model, which its streams report in `x-confidence`. */
  readonly confidence?: (model: string) => number
}

const DEFAULT_EVENTS = 5
const DEFAULT_EVENT_MS = 5
const DEFAULT_RESTART_MS = 2_000

/** Time from the response head to the end of a replica that crashes, in milliseconds. */
const CRASH_DELAY_MS = 30

/** Path of the health check, as the configuration of a fleet names it. */
const HEALTH_PATH = '/health'

/**
 * Serves as one backend server on loopback.
 *
 * @example
 * const replica = await ReplicaStandin.create({ id: 'i-1' })
 * replica.runs.length // number of requests that it ran
 */
export class ReplicaStandin {
  readonly runs: ReplicaRun[] = []
  /** Ids of the requests that it is working on: those whose connection is still open. */
  readonly openRuns = new Set<string>()
  behaviour: (req: IncomingMessage, body: string) => ReplicaBehaviour
  /** Times at which requests arrived, in milliseconds of `performance.now()`. */
  readonly arrivals: number[] = []
  /**
   * Requests a second that the replica takes, which all its responses name in
   * `server-limit`; they name none if it is undefined.
   */
  rateLimit: string | undefined
  /** Whether all its responses say that it is leaving. */
  isLeaving = false
  /**
   * Until when the replica is cold, in milliseconds of `performance.now()`; its entry and its
   * health check tell nothing about it if it is undefined.
   */
  coldUntilMs: number | undefined
  /** Value of `retry-after` in its refusals, in seconds. */
  retryAfter: string | undefined
  /**
   * Refusals in a second beyond which the replica falls, which all its responses tell in
   * `server-brittle`.
   */
  brittle: number | undefined
  /** Requests that may wait for a slot; lower than at first while it is brittle. */
  #room: ReplicaRoom | undefined
  /** Streams that it is sending now. */
  openStreams = 0
  /** How often it fell. */
  fallCount = 0
  /** Times at which requests began to run, in milliseconds of `performance.now()`. */
  readonly servedAtMs: number[] = []
  /** Whether the replica crashes under a request, whatever its behaviour. */
  crashesOn: (req: IncomingMessage, body: string) => boolean = () => false
  readonly #server: Server
  readonly #sockets = new Set<Socket>()
  #port = 0
  #hasCrashed = false
  /** Rises with each start; the replica keeps its id and its address. */
  #startCount = 1

  private constructor(private readonly opts: ReplicaOptions) {
    this.behaviour = opts.behaviour ?? (() => 'answer')
    this.#openRoom()
    this.#server = createServer((req, res) => {
      this.arrivals.push(performance.now())
      if (this.rateLimit !== undefined) res.setHeader('server-limit', this.rateLimit)
      if (this.isLeaving) res.setHeader('server-leaving', '1')
      if (this.brittle !== undefined) res.setHeader('server-brittle', this.brittle)
      this.#serve(req, res).catch(() => {
        res.destroy()
      })
    })
    this.#server.keepAliveTimeout = 60_000
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket)
      socket.once('close', () => this.#sockets.delete(socket))
    })
  }

  static async create(opts: ReplicaOptions): Promise<ReplicaStandin> {
    const replica = new ReplicaStandin(opts)
    await new Promise<void>((resolve) => {
      replica.#server.listen(0, '127.0.0.1', resolve)
    })
    replica.#port = (replica.#server.address() as AddressInfo).port
    return replica
  }

  get id(): string {
    return this.opts.id
  }

  get address(): string {
    return `127.0.0.1:${this.#port}`
  }

  /** Returns the entry of this backend server in the store. */
  entry(changes: Readonly<Record<string, unknown>> = {}): unknown {
    return {
      service: 'plain',
      address: this.address,
      zone: 'z1',
      version: 'v1',
      slots: 6,
      state: 'ready',
      sequence: 1,
      born: this.#startCount,
      ...(this.coldUntilMs !== undefined && { coldRemainingMs: this.#coldRemainingMs }),
      ...changes,
    }
  }

  get #coldRemainingMs(): number {
    return Math.max(0, Math.round((this.coldUntilMs ?? 0) - performance.now()))
  }

  /** Its open connections. */
  get openSockets(): ReadonlySet<Socket> {
    return this.#sockets
  }

  /** Changes how many requests may wait for a slot. */
  set queueLimit(limit: number) {
    if (this.#room) this.#room.queueLimit = limit
  }

  #openRoom(): void {
    const { room } = this.opts
    this.#room = room && new ReplicaRoom(room.slots, room.queueLimit)
  }

  /** Ends the replica without notice; resets its connections. */
  crash(): void {
    if (this.#hasCrashed) return
    this.#hasCrashed = true
    this.#server.close()
    for (const socket of this.#sockets) socket.resetAndDestroy()
    this.opts.onCrash?.()
  }

  /** Starts a replica that has crashed again, at the same address. */
  async restart(): Promise<void> {
    this.#startCount += 1
    await new Promise<void>((resolve) => {
      this.#server.listen(this.#port, '127.0.0.1', resolve)
    })
    this.#hasCrashed = false
  }

  async close(): Promise<void> {
    if (this.#hasCrashed) return
    const closed = new Promise((resolve) => this.#server.close(resolve))
    this.#server.closeAllConnections()
    await closed
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    for await (const chunk of req) chunks.push(chunk as Buffer)
    const body = Buffer.concat(chunks).toString()
    const { headers } = req
    const expected = headers['x-expected-instance']
    if (expected !== undefined && expected !== this.opts.id) {
      res.writeHead(421, { 'x-not-executed': '1' }).end()
      return
    }
    if (req.url === HEALTH_PATH) {
      if (this.coldUntilMs !== undefined)
        res.setHeader('x-cold-remaining', this.#coldRemainingMs)
      res.writeHead(200, { 'x-instance-id': this.opts.id }).end()
      return
    }
    const behaviour = this.crashesOn(req, body) ? 'crash' : this.behaviour(req, body)
    if (behaviour === 'shed') {
      this.#refuse(res)
      return
    }
    const room = this.#room
    if (room && !(await room.enter())) {
      this.#refuse(res)
      if (this.brittle !== undefined && room.refusalsInLastSecond > this.brittle)
        this.#fall(room.queueLimit)
      return
    }
    this.servedAtMs.push(performance.now())
    try {
      await this.#run(req, res, body, behaviour)
    } finally {
      room?.leave()
    }
  }

  #refuse(res: ServerResponse): void {
    res.writeHead(503, {
      'x-not-executed': '1',
      ...(this.retryAfter !== undefined && { 'retry-after': this.retryAfter }),
    })
    res.end()
  }

  /** Ends the replica, and starts it again with the same queue after a while. */
  #fall(queueLimit: number): void {
    if (this.#hasCrashed) return
    this.fallCount += 1
    this.crash()
    setTimeout(() => {
      this.#openRoom()
      this.queueLimit = queueLimit
      void this.restart().then(() => this.opts.onRestart?.())
    }, this.opts.restartMs ?? DEFAULT_RESTART_MS)
  }

  async #run(
    req: IncomingMessage,
    res: ServerResponse,
    body: string,
    behaviour: ReplicaBehaviour,
  ): Promise<void> {
    const { headers } = req
    const firstEvent = Number(headers['last-event-id'] ?? 0) + 1
    const requestId = String(headers['x-request-id'])
    this.runs.push({
      requestId,
      path: req.url ?? '',
      model: firstValue(headers['x-model']),
      workspace: firstValue(headers['x-tenant']),
      promptParts: promptPartIds(firstValue(headers['x-prompt-prefix'])),
      firstEvent,
      body,
      atMs: performance.now(),
    })
    this.openRuns.add(requestId)
    res.once('close', () => this.openRuns.delete(requestId))
    if (behaviour === 'hang') return
    if (behaviour === 'lose') req.socket.resetAndDestroy()
    else if (headers['accept'] === 'text/event-stream') {
      await this.#stream(req, res, firstEvent, behaviour)
    } else if (behaviour === 'crash') {
      this.#crashSoon()
    } else {
      await this.#delayResponse(req)
      this.#respond(req, res, behaviour)
    }
  }

  #crashSoon(): void {
    setTimeout(() => {
      this.crash()
    }, CRASH_DELAY_MS)
  }

  async #delayResponse(req: IncomingMessage): Promise<void> {
    const delayMs = this.opts.responseMs?.(req) ?? 0
    if (delayMs > 0) await new Promise((resolve) => setTimeout(resolve, delayMs))
  }

  #respond(req: IncomingMessage, res: ServerResponse, behaviour: ReplicaBehaviour): void {
    const text = `${req.method ?? ''} ${req.url ?? ''} by ${this.opts.id}`
    const body = text.padEnd(this.opts.responseBytes?.(req) ?? 0)
    const status = behaviour === 'error' ? 500 : 200
    res.writeHead(status, { ...responseHeaders(req), 'content-length': body.length })
    if (behaviour === 'cut') {
      res.write(body.slice(0, 5), () => req.socket.resetAndDestroy())
    } else res.end(body)
  }

  async #stream(
    req: IncomingMessage,
    res: ServerResponse,
    firstEvent: number,
    behaviour: ReplicaBehaviour,
  ): Promise<void> {
    const {
      events = DEFAULT_EVENTS,
      eventMs = DEFAULT_EVENT_MS,
      confidence = () => 100,
    } = this.opts
    const model = firstValue(req.headers['x-model']) ?? ''
    if (behaviour === 'error') {
      res.writeHead(500, responseHeaders(req)).end('failed')
      return
    }
    res.writeHead(200, {
      ...responseHeaders(req),
      'content-type': 'text/event-stream',
      'x-confidence': String(confidence(model)),
    })
    if (behaviour === 'crash') {
      res.flushHeaders()
      this.#crashSoon()
      return
    }
    this.openStreams += 1
    res.once('close', () => (this.openStreams -= 1))
    for (let id = firstEvent; id <= events; id += 1) {
      if (res.destroyed) return
      res.write(`id: ${id}\ndata: ${model} ${id}\n\n`)
      if (behaviour === 'cut' && id >= events / 2) {
        res.write(`id: ${id + 1}\nda`, () => req.socket.resetAndDestroy())
        return
      }
      await new Promise((resolve) => setTimeout(resolve, eventMs))
    }
    res.end()
  }
}

function responseHeaders({ headers }: IncomingMessage): Record<string, string> {
  return { 'x-request-id': String(headers['x-request-id']), 'x-response-signature': 's' }
}

function promptPartIds(prefix: string | undefined): string[] {
  return prefix?.split(',').map((entry) => entry.split(':')[0] ?? '') ?? []
}

function firstValue(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value
}
