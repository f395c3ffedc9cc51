/**
 * Stand-in of the platform: versioned objects, watches and the list of instances,
 * with outages, slow answers, lost confirmations and a lagging list.
 */
import type { ServerResponse } from 'node:http'
import { setTimeout as delay } from 'node:timers/promises'
import {
  MemoryStore,
  type CallFault,
  type ObjectKind,
  type StoredObject,
} from '@wagtailway/core'
import { encodeListedInstance, instanceSchema, type Instance } from '@wagtailway/platform'
import { z } from 'zod'
import { JsonServer, sendJson, type Route, type RouteCall } from '../http/jsonServer.js'

export const platformFaultsSchema = z.object({
  /** Every call but those under /admin is answered 503. */
  outage: z.boolean(),
  /** Added to every answer, in milliseconds. */
  latencyMs: z.number().nonnegative(),
  /** So many next writes take effect but are answered 503. */
  loseConfirmations: z.number().int().nonnegative(),
  /** Age of the list of instances, in milliseconds. */
  listLagMs: z.number().nonnegative(),
})

export type PlatformFaults = z.infer<typeof platformFaultsSchema>

/** Path prefix by which a caller of the platform names its view. */
const VIEW = /^\/views\/([^/]+)\//

const viewSchema = z.record(z.string(), z.string())

const objectKindSchema = z.enum([
  'declaration',
  'config',
  'claim',
  'session',
  'billing',
  'status',
  'lease',
])

const writeSchema = z.object({
  metadata: z.object({ name: z.string().default(''), revision: z.number().optional() }),
  specification: z.unknown().optional(),
})

const NO_FAULTS: PlatformFaults = {
  outage: false,
  latencyMs: 0,
  loseConfirmations: 0,
  listLagMs: 0,
}

/**
 * Serves the platform's API on loopback.
 *
 * @example
 * const platform = await PlatformStandin.create({ port: 0 })
 * platform.url
 */
export class PlatformStandin {
  readonly #instances = new Map<string, Instance>()
  /** Other addresses of instances, as one caller of the platform sees them. */
  readonly #views = new Map<string, ReadonlyMap<string, string>>()
  readonly #callsByOperation = new Map<string, number>()
  readonly #store = MemoryStore.create((operation) => this.#fate(operation))
  #faults: PlatformFaults = NO_FAULTS
  /** Lists of instances with the time they were made, oldest first. */
  #lists: { atMs: number; instances: Instance[] }[] = [{ atMs: 0, instances: [] }]
  #server: JsonServer | undefined

  static async create(opts: { port: number }): Promise<PlatformStandin> {
    const standin = new PlatformStandin()
    standin.#server = await JsonServer.create({
      port: opts.port,
      routes: standin.#routes(),
    })
    return standin
  }

  get url(): string {
    return this.#server?.url ?? ''
  }

  /** The objects, for checks that don't count as calls of the product. */
  get store(): MemoryStore {
    return this.#store
  }

  setFaults(faults: Partial<PlatformFaults>): void {
    this.#faults = { ...this.#faults, ...faults }
  }

  /** Adds or replaces an instance of the list. */
  setInstance(instance: Instance): void {
    this.#instances.set(instance.id, instance)
    this.#lists.push({ atMs: Date.now(), instances: [...this.#instances.values()] })
  }

  /**
   * Gives one caller of the platform other addresses of some instances, so that a
   * test can put a relay between two parts. The caller uses `/views/NAME` as its
   * base path.
   */
  setView(name: string, addresses: Readonly<Record<string, string>>): void {
    this.#views.set(name, new Map(Object.entries(addresses)))
  }

  removeInstance(id: string): void {
    this.#instances.delete(id)
    this.#lists.push({ atMs: Date.now(), instances: [...this.#instances.values()] })
  }

  async close(): Promise<void> {
    await this.#server?.close()
  }

  #fate(operation: string): CallFault {
    if (operation !== 'put' || this.#faults.loseConfirmations === 0) return 'none'
    this.#faults = {
      ...this.#faults,
      loseConfirmations: this.#faults.loseConfirmations - 1,
    }
    return 'unconfirmed'
  }

  #routes(): Route[] {
    const api = (
      method: string,
      pattern: RegExp,
      operation: string,
      handle: (call: RouteCall) => Promise<void>,
    ): Route => ({
      method,
      pattern,
      handle: (call) => this.#guard(operation, call, handle),
    })
    return [
      api('GET', /\/-\/objects\/servers$/, 'instances', (call) => {
        this.#listInstances(call)
        return Promise.resolve()
      }),
      api('GET', /\/-\/objects\/([^/]+)\/([^/]+)$/, 'get', (call) => this.#get(call)),
      api('GET', /\/-\/objects\/([^/]+)$/, 'list', (call) =>
        call.url.searchParams.has('watch') ? this.#watch(call) : this.#list(call),
      ),
      api('POST', /\/-\/objects\/([^/]+)$/, 'put', (call) => this.#create(call)),
      api('PUT', /\/-\/objects\/([^/]+)\/([^/]+)$/, 'put', (call) => this.#replace(call)),
      ...this.#adminRoutes(),
    ]
  }

  #adminRoutes(): Route[] {
    return [
      {
        method: 'POST',
        pattern: /^\/admin\/faults$/,
        handle: ({ res, body }) => {
          this.setFaults(platformFaultsSchema.partial().parse(JSON.parse(body)))
          sendJson(res, 200, this.#faults)
        },
      },
      {
        method: 'GET',
        pattern: /^\/admin\/instances$/,
        handle: ({ res }) => {
          sendJson(res, 200, [...this.#instances.values()])
        },
      },
      {
        method: 'PUT',
        pattern: /^\/admin\/instances$/,
        handle: ({ res, body }) => {
          this.setInstance(instanceSchema.parse(JSON.parse(body)))
          sendJson(res, 200, {})
        },
      },
      {
        method: 'PUT',
        pattern: /^\/admin\/views\/([^/]+)$/,
        handle: ({ res, params, body }) => {
          this.setView(params[0] ?? '', viewSchema.parse(JSON.parse(body)))
          sendJson(res, 200, {})
        },
      },
      {
        method: 'DELETE',
        pattern: /^\/admin\/instances\/([^/]+)$/,
        handle: ({ res, params }) => {
          this.removeInstance(params[0] ?? '')
          sendJson(res, 200, {})
        },
      },
      {
        method: 'GET',
        pattern: /^\/admin\/objects\/([^/]+)$/,
        handle: ({ res, params }) => {
          sendJson(res, 200, this.#store.peek(ownKind(params)))
        },
      },
      {
        method: 'GET',
        pattern: /^\/admin\/calls$/,
        handle: ({ res }) => {
          sendJson(res, 200, Object.fromEntries(this.#callsByOperation))
        },
      },
    ]
  }

  async #guard(
    operation: string,
    call: RouteCall,
    handle: (call: RouteCall) => Promise<void>,
  ): Promise<void> {
    const calls = this.#callsByOperation.get(operation) ?? 0
    this.#callsByOperation.set(operation, calls + 1)
    if (this.#faults.latencyMs > 0) await delay(this.#faults.latencyMs)
    if (this.#faults.outage) sendJson(call.res, 503, { error: 'outage' })
    else await handle(call)
  }

  async #get({ res, params }: RouteCall): Promise<void> {
    const found = await this.#store.get(ownKind(params), params[1] ?? '')
    if (found.err) sendJson(res, 503, found.val)
    else if (found.val === undefined) sendJson(res, 404, {})
    else sendJson(res, 200, wireObject(found.val))
  }

  async #list({ res, params }: RouteCall): Promise<void> {
    const found = await this.#store.list(ownKind(params), '')
    if (found.err) sendJson(res, 503, found.val)
    else sendPage(res, found.val.objects.map(wireObject), found.val.revision)
  }

  async #create({ res, params, body }: RouteCall): Promise<void> {
    const { metadata, specification } = writeSchema.parse(JSON.parse(body))
    await this.#put(res, ownKind(params), metadata.name, specification, 0)
  }

  async #replace({ res, params, body }: RouteCall): Promise<void> {
    const { metadata, specification } = writeSchema.parse(JSON.parse(body))
    const name = params[1] ?? ''
    const found = this.#store.peek(ownKind(params)).find((o) => o.name === name)
    const revision = metadata.revision ?? found?.revision ?? 0
    await this.#put(res, ownKind(params), name, specification, revision)
  }

  async #put(
    res: ServerResponse,
    kind: ObjectKind,
    name: string,
    value: unknown,
    ifRevision: number,
  ): Promise<void> {
    const put = await this.#store.put(kind, name, value, ifRevision)
    if (put.ok) sendJson(res, 200, wireObject(put.val))
    else if (put.val.type === 'conflict') {
      const found = this.#store.peek(kind).find((o) => o.name === name)
      sendJson(res, found ? 409 : 404, found ? wireObject(found) : {})
    }
    // The write is done, and its answer lost on the way.
    else res.destroy()
  }

  async #watch({ res, params, url }: RouteCall): Promise<void> {
    const after = Number(url.searchParams.get('watch') ?? '0')
    const waitMs = Number(url.searchParams.get('waitMs') ?? '0')
    const found = await this.#store.watch(ownKind(params), after, waitMs)
    // An outage that began while the watch was waiting cuts it too.
    if (this.#faults.outage || found.err) {
      sendJson(res, 503, { error: 'outage' })
      return
    }
    const { objects, revision } = found.val
    const events = objects.map((o) => ({ deleted: false, object: wireObject(o) }))
    sendJson(res, 200, { events, asOf: revision })
  }

  #listInstances(call: RouteCall): void {
    const items = this.#laggingList(call).map((instance) => ({
      metadata: { name: instance.id, revision: 1 },
      specification: encodeListedInstance(instance),
      status: null,
    }))
    sendPage(call.res, items, this.#visibleLists().length)
  }

  /** Lists that are old enough to be seen; the first one always is. */
  #visibleLists(): { atMs: number; instances: Instance[] }[] {
    const until = Date.now() - this.#faults.listLagMs
    return this.#lists.filter(({ atMs }, i) => i === 0 || atMs <= until)
  }

  /** The list as it stood some time ago, with the addresses of the caller's view. */
  #laggingList({ url }: RouteCall): Instance[] {
    const instances = this.#visibleLists().at(-1)?.instances ?? []
    const view = this.#views.get(VIEW.exec(url.pathname)?.[1] ?? '')
    return instances.map((instance) => ({
      ...instance,
      address: view?.get(instance.id) ?? instance.address,
    }))
  }
}

/** Kind of the product's own objects in a path, without the mark that they carry there. */
function ownKind(params: readonly string[]): ObjectKind {
  return objectKindSchema.parse(params[0]?.replace(/^wagtailway-/, ''))
}

function wireObject({ name, revision, value }: StoredObject): unknown {
  return {
    metadata: { name, revision, created: 0, finalizers: [], deleting: false },
    specification: value,
    status: null,
  }
}

function sendPage(res: ServerResponse, items: readonly unknown[], asOf: number): void {
  sendJson(res, 200, { items, hasMore: false, asOf })
}
