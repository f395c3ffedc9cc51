/**
 * Stand-in for the store of the users' platform: objects with revisions, conditional
 * writes, watches over a limited history, lost responses, outages and restores from a copy.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http'
import type { AddressInfo } from 'node:net'
import { z } from 'zod'

/**
 * How the store treats calls:
 *
 * - `down`: responds with status 503
 * - `busy`: responds with status 429
 * - `silent`: never responds
 * - `reset`: resets the connection
 */
export type StoreMode = 'up' | 'down' | 'busy' | 'silent' | 'reset'

export interface StoreObject {
  readonly name: string
  readonly revision: number
  readonly created: number
  readonly specification: unknown
  readonly status: unknown
}

/** Contents of the store at one moment, to restore it from. */
export interface StoreCopy {
  readonly objects: ReadonlyMap<string, StoreObject>
  readonly revision: number
}

interface StoreChange {
  readonly kind: string
  readonly deleted: boolean
  readonly object: StoreObject
}

const OBJECT_PATH = /^\/-\/objects\/([^/]+)(?:\/([^/]+))?(\/status)?$/

/** Maximum number of changes that are kept for watches. */
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
  /** Returns a mode for single calls, which takes precedence over `mode`. */
  modeFor: (req: IncomingMessage) => StoreMode | undefined = () => undefined
  /** Number of next writes that take effect but whose responses are lost. */
  loseNextResponses = 0
  /** Number of calls by type: `watch` or the HTTP method. */
  readonly calls = new Map<string, number>()
  #objects = new Map<string, StoreObject>()
  /** Rises by one each time the store is restored; sent in every response. */
  #era = 1
  #history: StoreChange[] = []
  #historyStartRevision = 0
  #revision = 1
  readonly #watchWakeups = new Set<() => void>()
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

  /** Writes an object unconditionally, as the operator or a backend server does. */
  put(kind: string, name: string, specification: unknown): void {
    this.#write(kind, name, (old) => ({
      specification,
      status: old?.status ?? null,
    }))
  }

  remove(kind: string, name: string): void {
    const old = this.#objects.get(`${kind}/${name}`)
    if (!old) return
    this.#objects.delete(`${kind}/${name}`)
    this.#revision += 1
    this.#recordChange({
      kind,
      deleted: true,
      object: { ...old, revision: this.#revision },
    })
  }

  read(kind: string, name: string): StoreObject | undefined {
    return this.#objects.get(`${kind}/${name}`)
  }

  /** Drops the history: watches from an earlier revision get status 410. */
  dropHistory(): void {
    this.#history = []
    this.#historyStartRevision = this.#revision
    for (const wake of this.#watchWakeups) wake()
  }

  copy(): StoreCopy {
    return { objects: new Map(this.#objects), revision: this.#revision }
  }

  /**
   * Restores the store from an older copy: what was written since is gone, and its
   * revisions are given out again.
   */
  restore({ objects, revision }: StoreCopy): void {
    this.#objects = new Map(objects)
    this.#revision = revision
    this.#era += 1
    this.dropHistory()
  }

  async close(): Promise<void> {
    const closed = new Promise((resolve) => this.#server.close(resolve))
    this.#server.closeAllConnections()
    await closed
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    for await (const chunk of req) chunks.push(chunk as Buffer)
    const mode = this.modeFor(req) ?? this.mode
    if (mode === 'silent') return
    if (mode === 'reset') req.socket.resetAndDestroy()
    else if (mode !== 'up') this.#send(res, mode === 'down' ? 503 : 429, {})
    else await this.#respond(req, res, Buffer.concat(chunks).toString())
  }

  async #respond(
    req: IncomingMessage,
    res: ServerResponse,
    bodyText: string,
  ): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://store')
    const [, kind = '', name, isStatusWrite] = OBJECT_PATH.exec(url.pathname) ?? []
    const { method = 'GET' } = req
    const callType = url.searchParams.has('watch') ? 'watch' : method
    this.calls.set(callType, (this.calls.get(callType) ?? 0) + 1)
    if (method === 'GET') {
      if (name !== undefined) this.#sendObject(res, this.read(kind, name))
      else if (callType === 'watch') await this.#watch(res, kind, url.searchParams)
      else this.#list(res, kind)
      return
    }
    const status = this.#applyWrite(
      method,
      kind,
      name,
      isStatusWrite !== undefined,
      bodyText,
    )
    if (this.loseNextResponses > 0) {
      this.loseNextResponses -= 1
      res.destroy()
    } else this.#send(res, status.code, status.object ? toWireObject(status.object) : {})
  }

  #applyWrite(
    method: string,
    kind: string,
    nameInPath: string | undefined,
    isStatusWrite: boolean,
    bodyText: string,
  ): { code: number; object?: StoreObject | undefined } {
    const body = bodySchema.parse(bodyText === '' ? {} : JSON.parse(bodyText))
    const name = nameInPath ?? body.metadata.name ?? ''
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
      isStatusWrite
        ? { specification: old?.specification, status: body.status }
        : { specification: body.specification, status: old?.status ?? null },
    )
    return { code: 200, object }
  }

  #write(
    kind: string,
    name: string,
    buildContent: (
      old: StoreObject | undefined,
    ) => Pick<StoreObject, 'specification' | 'status'>,
  ): StoreObject {
    const old = this.read(kind, name)
    this.#revision += 1
    const created = old?.created ?? this.#revision
    const object = { name, revision: this.#revision, created, ...buildContent(old) }
    this.#objects.set(`${kind}/${name}`, object)
    this.#recordChange({ kind, deleted: false, object })
    return object
  }

  #recordChange(change: StoreChange): void {
    this.#history.push(change)
    if (this.#history.length > HISTORY_LENGTH) {
      this.#historyStartRevision = this.#history.shift()?.object.revision ?? 0
    }
    for (const wake of this.#watchWakeups) wake()
  }

  #list(res: ServerResponse, kind: string): void {
    const items = [...this.#objects]
      .filter(([key]) => key.startsWith(`${kind}/`))
      .map(([, object]) => toWireObject(object))
    this.#send(res, 200, { items, hasMore: false, asOf: this.#revision })
  }

  async #watch(res: ServerResponse, kind: string, query: URLSearchParams): Promise<void> {
    const after = Number(query.get('watch'))
    const deadlineMs = performance.now() + Number(query.get('waitMs') ?? 0)
    const era = this.#era
    for (;;) {
      const isKnown = after >= this.#historyStartRevision && after <= this.#revision
      if (!isKnown || era !== this.#era) {
        this.#send(res, 410, {})
        return
      }
      const events = this.#history
        .filter((change) => change.kind === kind && change.object.revision > after)
        .map(({ deleted, object }) => ({ deleted, object: toWireObject(object) }))
      const remainingMs = deadlineMs - performance.now()
      if (events.length > 0 || remainingMs <= 0) {
        this.#send(res, 200, { events, asOf: this.#revision })
        return
      }
      await this.#waitForChange(remainingMs)
    }
  }

  #sendObject(res: ServerResponse, object: StoreObject | undefined): void {
    this.#send(res, object ? 200 : 404, object ? toWireObject(object) : {})
  }

  #send(res: ServerResponse, status: number, body: unknown): void {
    const headers = { 'content-type': 'application/json', 'store-era': this.#era }
    res.writeHead(status, headers)
    res.end(JSON.stringify(body))
  }

  #waitForChange(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        clearTimeout(timer)
        this.#watchWakeups.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, ms)
      this.#watchWakeups.add(wake)
    })
  }
}

function toWireObject({
  name,
  revision,
  created,
  specification,
  status,
}: StoreObject): unknown {
  const metadata = { name, revision, created, finalizers: [], deleting: false }
  return { metadata, specification, status }
}
