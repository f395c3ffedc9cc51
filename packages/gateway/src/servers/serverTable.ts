/** Backend servers known to this process, and how sure it is of each. */
import type { Clock } from '@wagtailway/core'
import type { BackendServer } from '../model/backendServer.js'

/**
 * How long entries that vanished during an outage of the list stay usable after its
 * return, in milliseconds; a living server has registered again by then.
 */
export const LAPSE_GRACE_MS = 2_000

interface Known {
  readonly server: BackendServer
  /** Set while the entry is missing but may only have lapsed. */
  readonly lapsedUntilMs?: number
}

/** One change of the list: `server` is undefined if the entry names none to use. */
export interface ServerChange {
  readonly id: string
  readonly server: BackendServer | undefined
}

/**
 * The list of backend servers.
 *
 * @example
 * const table = ServerTable.create(clock, () => undefined)
 * table.apply([{ id: 's1', server }])
 * table.ready('summariser', 'v2')
 */
export class ServerTable {
  readonly #known = new Map<string, Known>()
  #graceUntilMs = Number.NEGATIVE_INFINITY

  private constructor(
    private readonly clock: Clock,
    private readonly onGone: (server: BackendServer) => void,
  ) {}

  /** @param onGone Called with each server that is no longer known. */
  static create(clock: Clock, onGone: (server: BackendServer) => void): ServerTable {
    return new ServerTable(clock, onGone)
  }

  /** Notes that the list answers again after an outage. */
  listReturned(): void {
    this.#graceUntilMs = this.clock() + LAPSE_GRACE_MS
  }

  /** Takes in changed entries. */
  apply(changes: Iterable<ServerChange>): void {
    for (const { id, server } of changes) {
      if (server) this.#put(server)
      else this.#remove(id)
    }
  }

  /** Replaces the whole list. */
  replaceAll(servers: readonly BackendServer[]): void {
    const ids = new Set(servers.map(({ id }) => id))
    for (const id of [...this.#known.keys()]) if (!ids.has(id)) this.#remove(id)
    for (const server of servers) this.#put(server)
  }

  get(id: string): BackendServer | undefined {
    return this.#known.get(id)?.server
  }

  /** Every known server, also the leaving ones. */
  all(): BackendServer[] {
    return [...this.#known.values()].map(({ server }) => server)
  }

  /** Servers of a service that take new work, of one version if it is given. */
  ready(service: string, version?: string): BackendServer[] {
    const now = this.clock()
    const found: BackendServer[] = []
    for (const [id, { server, lapsedUntilMs }] of this.#known) {
      if (lapsedUntilMs !== undefined && now >= lapsedUntilMs) {
        this.#known.delete(id)
        this.onGone(server)
        continue
      }
      if (server.service !== service || server.isLeaving) continue
      if (version === undefined || server.version === version) found.push(server)
    }
    return found
  }

  #put(server: BackendServer): void {
    const old = this.#known.get(server.id)?.server
    if (old && old.startedAtMs !== server.startedAtMs) this.onGone(old)
    this.#known.set(server.id, { server })
  }

  #remove(id: string): void {
    const known = this.#known.get(id)
    if (!known) return
    // A leaving server doesn't come back.
    if (this.clock() < this.#graceUntilMs && !known.server.isLeaving) {
      this.#known.set(id, { ...known, lapsedUntilMs: this.#graceUntilMs })
      return
    }
    this.#known.delete(id)
    this.onGone(known.server)
  }
}
