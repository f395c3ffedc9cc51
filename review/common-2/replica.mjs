/**
 * Stand-in for one replica: plain answers and streams of events, each with the headers that
 * the platform's pages name. A replica that expects another identifier answers 421.
 */
import { createServer } from 'node:http'
import { sleep } from './fleet.mjs'

const HEALTH_PATH = '/health'

export class Replica {
  born = Date.now()
  state = 'ready'
  /** Until when it is cold, on the clock of `performance.now()`. */
  coldUntil = 0
  /** `true` while its process is down. */
  isDown = false
  /** Requests that reached it in the last second while it was cold. */
  #arrivals = []
  #sockets = new Set()

  constructor(options) {
    this.options = options
  }

  /**
   * @param options `id`, `service`, `host`, `version`, `slots`; `onRun(run)` is called when a
   *   request begins to run; `workMs(req)` and, for streams, `events(req)` and `eventMs`;
   *   `retryAfterS(req)` tells for how long it wants nothing, if it turns the request away;
   *   `coldCrashPerS`, the requests in one second beyond which it crashes while it is cold.
   */
  static async create(options) {
    const replica = new Replica(options)
    await replica.#listen(0)
    return replica
  }

  get entry() {
    const { service, version = 'v1', zone = 'z1', slots = 64 } = this.options
    return {
      service,
      address: `${this.options.host}:${this.port}`,
      zone,
      version,
      slots,
      state: this.state,
      born: this.born,
      coldRemainingMs: this.coldRemainingMs,
      sequence: 1,
    }
  }

  get coldRemainingMs() {
    return Math.max(0, Math.round(this.coldUntil - performance.now()))
  }

  /** Ends the process; its connections are reset and its port is closed. */
  crash() {
    this.isDown = true
    this.server.close()
    for (const socket of this.#sockets) socket.resetAndDestroy()
  }

  /** Starts again under the same identifier and address. */
  async restart(coldMs = 0) {
    this.born = Date.now()
    this.coldUntil = performance.now() + coldMs
    this.#arrivals = []
    await this.#listen(this.port)
    this.isDown = false
  }

  close() {
    this.server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  async #listen(port) {
    this.server = createServer((req, res) => {
      this.#serve(req, res).catch(() => res.destroy())
    })
    this.server.keepAliveTimeout = 10_000
    this.server.on('connection', (socket) => {
      this.#sockets.add(socket)
      socket.once('close', () => this.#sockets.delete(socket))
    })
    await new Promise((resolve) => this.server.listen(port, this.options.host, resolve))
    this.port = this.server.address().port
  }

  async #serve(req, res) {
    const { id, version = 'v1', workMs = () => 15, onRun } = this.options
    for await (const chunk of req) void chunk
    const { headers } = req
    if (req.url === HEALTH_PATH) {
      res.setHeader('X-Cold-Remaining', String(this.coldRemainingMs))
      res.writeHead(200, { 'X-Instance-Id': id, 'Content-Length': 0 }).end()
      return
    }
    if (
      headers['x-expected-instance'] !== undefined &&
      headers['x-expected-instance'] !== id
    ) {
      res.writeHead(421, { 'X-Instance-Id': id, 'Content-Length': 0 }).end()
      return
    }
    const retryAfterS = this.options.retryAfterS?.(req)
    if (retryAfterS !== undefined) {
      res.writeHead(503, {
        'X-Request-Id': String(headers['x-request-id']),
        'X-Not-Executed': '1',
        'Retry-After': String(retryAfterS),
        'Content-Length': 0,
      })
      res.end()
      return
    }
    const run = {
      at: performance.now(),
      request: headers['x-request-id'],
      session: headers['session'],
      replica: id,
      version,
      isCold: this.coldRemainingMs > 0,
    }
    onRun?.(run)
    if (this.#isOverwhelmed(run)) {
      this.crash()
      this.options.onCrash?.()
      return
    }
    res.setHeader('X-Request-Id', String(headers['x-request-id']))
    res.setHeader('X-Response-Signature', `s-${id}`)
    if (this.options.events) {
      await this.#stream(req, res)
      return
    }
    await sleep(workMs(req))
    const body = `answer of ${id}`
    res.writeHead(200, { 'Content-Length': body.length }).end(body)
  }

  #isOverwhelmed({ at, isCold }) {
    this.#arrivals = this.#arrivals.filter((other) => other > at - 1_000)
    if (isCold) this.#arrivals.push(at)
    const { coldCrashPerS = Infinity } = this.options
    return isCold && this.#arrivals.length > coldCrashPerS
  }

  async #stream(req, res) {
    const { events, eventMs = 10 } = this.options
    res.setHeader('X-Confidence', '100')
    res.writeHead(200, { 'Content-Type': 'text/event-stream' })
    const first = Number(req.headers['last-event-id'] ?? 0) + 1
    for (let id = first; id <= events(req) && !res.destroyed; id += 1) {
      res.write(`id: ${id}\ndata: event ${id}\n\n`)
      await sleep(eventMs)
    }
    res.end()
  }
}
