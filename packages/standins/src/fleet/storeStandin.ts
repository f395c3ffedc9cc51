/**
 * Stand-in of the users' platform store: objects with revisions, conditional writes,
 * watches with a history that goes away, lost answers, outages.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http'
import type { AddressInfo } from 'node:net'
import { z } from 'zod'

/** How calls are answered. */
export type StoreMode = 'up' | 'down' | 'busy' | 'silent' | 'reset'

interface StoreObject {
  readonly name: string
  readonly revision: number
  readonly created: number
  readonly specification: unknown
  readonly status: unknown
}

interface Change {
  readonly kind: string
  readonly deleted: boolean
  readonly object: StoreObject
}

const PATH = /^\/-\/objects\/([^/]+)(?:\/([^/]+))?(\/status)?$/

/** Changes that watches can go back. */
const HISTORY_LENGTH = 500

const bodySchema = z.object({
  metadata: z
    .object({ name: z.string().optional(), revision: z.number().optional() })
    .default({}),
  specification: z.unknown().optional(),
  status: z.unknown().optional(),
})

/**
 * Serves the store on loopback.
 *
 * @example
 * const store = await StoreStandin.create()
 * store.put('config', 'main', { version: 1 })
 * store.mode = 'silent'
 */
export class StoreStandin {
  mode: StoreMode = 'up'
  /** Callers, by remote port, that are answered in another mode. */
  modeOf: (req: IncomingMessage) => StoreMode | undefined = () => undefined
  /** So many next writes are done and not answered. */
  loseAnswers = 0
  /** Calls by kind of call. */
  readonly calls = new Map<string, number>()
  readonly #objects = new Map<string, StoreObject>()
  #history: Change[] = []
  #historyFrom = 0
  #revision = 1
  readonly #waiters = new Set<() => void>()
  readonly #server: Server

  private constructor() {
    this.#server = createServer((req, res) => {
      this.#serve(req, res).catch(() => {
        res.destroy()
      })
    })
    this.#server.keepAliveTimeout = 60_000
  }

  static async create(): Promise<StoreStandin> {
    const standin = new StoreStandin()
    await new Promise<void>((resolve) => {
      standin.#server.listen(0, '127.0.0.1', resolve)
    })
    return standin
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port
  }

  /** Writes an object as the operator or a backend server does. */
  put(kind: string, name: string, specification: unknown): void {
    this.#write(kind, name, (old) => ({ specification, status: old?.status ?? null }))
  }

  remove(kind: string, name: string): void {
    const old = this.#objects.get(`${kind}/${name}`)
    if (!old) return
    this.#objects.delete(`${kind}/${name}`)
    this.#revision += 1
    this.#changed({ kind, deleted: true, object: { ...old, revision: this.#revision } })
  }

  read(kind: string, name: string): StoreObject | undefined {
    return this.#objects.get(`${kind}/${name}`)
  }

  /** Forgets the history: watches that go on from before get 410. */
  dropHistory(): void {
    this.#history = []
    this.#historyFrom = this.#revision
    for (const wake of this.#waiters) wake()
  }

  async close(): Promise<void> {
    const closed = new Promise((resolve) => this.#server.close(resolve))
    this.#server.closeAllConnections()
    await closed
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const parts: Buffer[] = []
    for await (const part of req) parts.push(part as Buffer)
    const mode = this.modeOf(req) ?? this.mode
    if (mode === 'silent') return
    if (mode === 'reset') req.socket.resetAndDestroy()
    else if (mode !== 'up') send(res, mode === 'down' ? 503 : 429, {})
    else await this.#answer(req, res, Buffer.concat(parts).toString())
  }

  async #answer(req: IncomingMessage, res: ServerResponse, text: string): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://store')
    const [, kind = '', name, isStatus] = PATH.exec(url.pathname) ?? []
    const { method = 'GET' } = req
    const call = url.searchParams.has('watch') ? 'watch' : method
    this.calls.set(call, (this.calls.get(call) ?? 0) + 1)
    if (method === 'GET') {
      if (name !== undefined) sendObject(res, this.read(kind, name))
      else if (call === 'watch') await this.#watch(res, kind, url.searchParams)
      else this.#list(res, kind)
      return
    }
    const status = this.#change(method, kind, name, isStatus !== undefined, text)
    if (this.loseAnswers > 0) {
      this.loseAnswers -= 1
      res.destroy()
    } else send(res, status.code, status.object ? wire(status.object) : {})
  }

  #change(
    method: string,
    kind: string,
    named: string | undefined,
    isStatus: boolean,
    text: string,
  ): { code: number; object?: StoreObject | undefined } {
    const body = bodySchema.parse(text === '' ? {} : JSON.parse(text))
    const name = named ?? body.metadata.name ?? ''
    const old = this.read(kind, name)
    if (method === 'DELETE') {
      this.remove(kind, name)
      return { code: old ? 200 : 404 }
    }
    if (method === 'POST' ? old : !old) return { code: old ? 409 : 404, object: old }
    const { revision } = body.metadata
    if (old && revision !== undefined && revision !== old.revision) {
      return { code: 409, object: old }
    }
    const object = this.#write(kind, name, () =>
      isStatus
        ? { specification: old?.specification, status: body.status }
        : { specification: body.specification, status: old?.status ?? null },
    )
    return { code: 200, object }
  }

  #write(
    kind: string,
    name: string,
    make: (old: StoreObject | undefined) => Pick<StoreObject, 'specification' | 'status'>,
  ): StoreObject {
    const old = this.read(kind, name)
    this.#revision += 1
    const created = old?.created ?? this.#revision
    const object = { name, revision: this.#revision, created, ...make(old) }
    this.#objects.set(`${kind}/${name}`, object)
    this.#changed({ kind, deleted: false, object })
    return object
  }

  #changed(change: Change): void {
    this.#history.push(change)
    if (this.#history.length > HISTORY_LENGTH) {
      this.#historyFrom = this.#history.shift()?.object.revision ?? 0
    }
    for (const wake of this.#waiters) wake()
  }

  #list(res: ServerResponse, kind: string): void {
    const items = [...this.#objects]
      .filter(([key]) => key.startsWith(`${kind}/`))
      .map(([, object]) => wire(object))
    send(res, 200, { items, hasMore: false, asOf: this.#revision })
  }

  async #watch(res: ServerResponse, kind: string, query: URLSearchParams): Promise<void> {
    const after = Number(query.get('watch'))
    const untilMs = performance.now() + Number(query.get('waitMs') ?? 0)
    for (;;) {
      if (after < this.#historyFrom) {
        send(res, 410, {})
        return
      }
      const events = this.#history
        .filter((change) => change.kind === kind && change.object.revision > after)
        .map(({ deleted, object }) => ({ deleted, object: wire(object) }))
      const leftMs = untilMs - performance.now()
      if (events.length > 0 || leftMs <= 0) {
        send(res, 200, { events, asOf: this.#revision })
        return
      }
      await this.#wait(leftMs)
    }
  }

  #wait(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        clearTimeout(timer)
        this.#waiters.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, ms)
      this.#waiters.add(wake)
    })
  }
}

function wire({ name, revision, created, specification, status }: StoreObject): unknown {
  const metadata = { name, revision, created, finalizers: [], deleting: false }
  return { metadata, specification, status }
}

function sendObject(res: ServerResponse, object: StoreObject | undefined): void {
  send(res, object ? 200 : 404, object ? wire(object) : {})
}

function send(res: ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, { 'content-type': 'application/json' })
  res.end(JSON.stringify(body))
}
