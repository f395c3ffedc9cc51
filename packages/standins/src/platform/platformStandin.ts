/**
 * Stand-in for the platform: versioned objects, watches and the list of instances, with
 * outages, slow responses, lost confirmations and a delayed list.
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
  /** Whether all calls except those under /admin fail with status 503. */
  outage: z.boolean(),
  /** Added to the latency of every call except those under /admin, in milliseconds. */
  latencyMs: z.number().nonnegative(),
  /**
   * Number of next writes that take effect but whose connection is closed without a
   * response.
   */
  loseConfirmations: z.number().int().nonnegative(),
  /** Delay until a change of the list of instances becomes visible, in milliseconds. */
  listLagMs: z.number().nonnegative(),
})

export type PlatformFaults = z.infer<typeof platformFaultsSchema>

/** Path prefix by which a caller of the platform selects its view. */
const VIEW_PREFIX = /^\/views\/([^/]+)\//

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
  /** Addresses that replace those of instances, by view and instance id. */
  readonly #views = new Map<string, ReadonlyMap<string, string>>()
  readonly #callCounts = new Map<string, number>()
  readonly #store = MemoryStore.create((operation) => this.#nextFault(operation))
  #faults: PlatformFaults = NO_FAULTS
  /** Versions of the list of instances with the time of each change, oldest first. */
  #listHistory: { atMs: number; instances: Instance[] }[] = [{ atMs: 0, instances: [] }]
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

  /** The objects, for checks that must not count as calls of the product. */
  get store(): MemoryStore {
    return this.#store
  }

  setFaults(faults: Partial<PlatformFaults>): void {
    this.#faults = { ...this.#faults, ...faults }
  }

  /** Adds an instance to the list or replaces it there. */
  setInstance(instance: Instance): void {
    this.#instances.set(instance.id, instance)
    this.#listHistory.push({ atMs: Date.now(), instances: [...this.#instances.values()] })
  }

  /**
   * Replaces the addresses of some instances for one caller of the platform, so that a
   * test can put a relay between two parts. The caller uses `/views/NAME` as its base
   * path.
   */
  setView(name: string, addresses: Readonly<Record<string, string>>): void {
    this.#views.set(name, new Map(Object.entries(addresses)))
  }

  removeInstance(id: string): void {
    this.#instances.delete(id)
    this.#listHistory.push({ atMs: Date.now(), instances: [...this.#instances.values()] })
  }

  async close(): Promise<void> {
    await this.#server?.close()
  }

  #nextFault(operation: string): CallFault {
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
      handle: (call) => this.#applyFaults(operation, call, handle),
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
          sendJson(res, 200, this.#store.peek(objectKindOf(params)))
        },
      },
      {
        method: 'GET',
        pattern: /^\/admin\/calls$/,
        handle: ({ res }) => {
          sendJson(res, 200, Object.fromEntries(this.#callCounts))
        },
      },
    ]
  }

  async #applyFaults(
    operation: string,
    call: RouteCall,
    handle: (call: RouteCall) => Promise<void>,
  ): Promise<void> {
    const calls = this.#callCounts.get(operation) ?? 0
    this.#callCounts.set(operation, calls + 1)
    if (this.#faults.latencyMs > 0) await delay(this.#faults.latencyMs)
    if (this.#faults.outage) sendJson(call.res, 503, { error: 'outage' })
    else await handle(call)
  }

  async #get({ res, params }: RouteCall): Promise<void> {
    const found = await this.#store.get(objectKindOf(params), params[1] ?? '')
    if (found.err) sendJson(res, 503, found.val)
    else if (found.val === undefined) sendJson(res, 404, {})
    else sendJson(res, 200, toWireObject(found.val))
  }

  async #list({ res, params }: RouteCall): Promise<void> {
    const found = await this.#store.list(objectKindOf(params), '')
    if (found.err) sendJson(res, 503, found.val)
    else sendPage(res, found.val.objects.map(toWireObject), found.val.revision)
  }

  async #create({ res, params, body }: RouteCall): Promise<void> {
    const { metadata, specification } = writeSchema.parse(JSON.parse(body))
    await this.#put(res, objectKindOf(params), metadata.name, specification, 0)
  }

  async #replace({ res, params, body }: RouteCall): Promise<void> {
    const { metadata, specification } = writeSchema.parse(JSON.parse(body))
    const name = params[1] ?? ''
    const found = this.#store.peek(objectKindOf(params)).find((o) => o.name === name)
    const revision = metadata.revision ?? found?.revision ?? 0
    await this.#put(res, objectKindOf(params), name, specification, revision)
  }

  async #put(
    res: ServerResponse,
    kind: ObjectKind,
    name: string,
    value: unknown,
    ifRevision: number,
  ): Promise<void> {
    const put = await this.#store.put(kind, name, value, ifRevision)
    if (put.ok) sendJson(res, 200, toWireObject(put.val))
    else if (put.val.type === 'conflict') {
      const found = this.#store.peek(kind).find((o) => o.name === name)
      sendJson(res, found ? 409 : 404, found ? toWireObject(found) : {})
    }
    // The write took effect, but its response is lost.
    else res.destroy()
  }

  async #watch({ res, params, url }: RouteCall): Promise<void> {
    const after = Number(url.searchParams.get('watch') ?? '0')
    const waitMs = Number(url.searchParams.get('waitMs') ?? '0')
    const found = await this.#store.watch(objectKindOf(params), after, waitMs)
    // An outage that began during the watch fails the watch too.
    if (this.#faults.outage || found.err) {
      sendJson(res, 503, { error: 'outage' })
      return
    }
    const { objects, revision } = found.val
    const events = objects.map((o) => ({ deleted: false, object: toWireObject(o) }))
    sendJson(res, 200, { events, asOf: revision })
  }

  #listInstances(call: RouteCall): void {
    const items = this.#delayedList(call).map((instance) => ({
      metadata: { name: instance.id, revision: 1 },
      specification: encodeListedInstance(instance),
      status: null,
    }))
    sendPage(call.res, items, this.#visibleListHistory().length)
  }

  /** Versions of the list at least as old as the set lag, and always the first, empty one. */
  #visibleListHistory(): { atMs: number; instances: Instance[] }[] {
    const latestMs = Date.now() - this.#faults.listLagMs
    return this.#listHistory.filter(({ atMs }, i) => i === 0 || atMs <= latestMs)
  }

  /** The newest visible list, with the addresses of the caller's view. */
  #delayedList({ url }: RouteCall): Instance[] {
    const instances = this.#visibleListHistory().at(-1)?.instances ?? []
    const view = this.#views.get(VIEW_PREFIX.exec(url.pathname)?.[1] ?? '')
    return instances.map((instance) => ({
      ...instance,
      address: view?.get(instance.id) ?? instance.address,
    }))
  }
}

/** Object kind in a path, without the prefix `wagtailway-` of the product's own kinds. */
function objectKindOf(params: readonly string[]): ObjectKind {
  return objectKindSchema.parse(params[0]?.replace(/^wagtailway-/, ''))
}

function toWireObject({ name, revision, value }: StoredObject): unknown {
  return {
    metadata: { name, revision, created: 0, finalizers: [], deleting: false },
    specification: value,
    status: null,
  }
}

function sendPage(res: ServerResponse, items: readonly unknown[], asOf: number): void {
  sendJson(res, 200, { items, hasMore: false, asOf })
}
