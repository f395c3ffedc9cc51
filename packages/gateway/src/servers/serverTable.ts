/** Backend servers known to this process. */
import type { Clock } from '@wagtailway/core'
import type { BackendServer } from '../model/backendServer.js'

/**
 * Time for which entries that expired during an outage of the store stay usable after its
 * recovery, in milliseconds; a live server has registered again by then.
 */
export const EXPIRY_GRACE_MS = 2_000

/**
 * Time after a restore of the store for which an entry that had been removed before gets no
 * requests, in milliseconds. The entry of a server that has left expires in this time.
 */
const RESTORED_ENTRY_DELAY_MS = 5_000

/**
 * Time for which removed entries are remembered, in milliseconds; the store may be restored
 * from a copy that still has them.
 */
const REMOVED_ENTRY_MEMORY_MS = 60_000

interface KnownServer {
  readonly server: BackendServer
  /** Set while a restored entry must not be used because it had been removed before. */
  readonly usableFromMs?: number
  /**
   * Set while the entry is missing from the store but may only have expired in an
   * outage.
   */
  readonly usableUntilMs?: number
}

/**
 * One change of the list; `server` is undefined if the entry was removed or is unusable.
 */
export interface ServerChange {
  readonly id: string
  readonly server: BackendServer | undefined
}

interface RemovedEntry {
  readonly startedAtMs: number
  readonly removedAtMs: number
}

/**
 * Called with each server that is removed or has restarted; in the latter case also with
 * its new incarnation.
 */
export type OnServerRemoved = (
  server: BackendServer,
  replacement: BackendServer | undefined,
) => void

/**
 * Table of the known backend servers.
 *
 * @example
 * const table = ServerTable.create(clock, () => undefined)
 * table.apply([{ id: 's1', server }])
 * table.ready('summariser', 'v2')
 */
export class ServerTable {
  readonly #known = new Map<string, KnownServer>()
  /** Recently removed entries, the oldest first. */
  readonly #removed = new Map<string, RemovedEntry>()
  #graceUntilMs = Number.NEGATIVE_INFINITY

  private constructor(
    private readonly clock: Clock,
    private readonly onRemoved: OnServerRemoved,
  ) {}

  static create(clock: Clock, onRemoved: OnServerRemoved): ServerTable {
    return new ServerTable(clock, onRemoved)
  }

  /** Starts the grace period for expired entries, after an outage of the store. */
  startExpiryGrace(): void {
    this.#graceUntilMs = this.clock() + EXPIRY_GRACE_MS
  }

  /** Applies changed entries. */
  apply(changes: Iterable<ServerChange>): void {
    for (const { id, server } of changes) {
      if (server) this.#put(server)
      else this.#remove(id)
    }
  }

  /**
   * Applies the changes that the first list after a restore of the store contains. Its
   * entries may be older than the known ones, until each server has registered again.
   */
  applyRestored(changes: Iterable<ServerChange>): void {
    this.startExpiryGrace()
    for (const { id, server } of changes) {
      if (server) this.#putRestored(server)
      else this.#remove(id)
    }
  }

  /** Replaces all entries. */
  replaceAll(servers: readonly BackendServer[]): void {
    const ids = new Set(servers.map(({ id }) => id))
    for (const id of [...this.#known.keys()]) if (!ids.has(id)) this.#remove(id)
    for (const server of servers) this.#put(server)
  }

  get(id: string): BackendServer | undefined {
    return this.#known.get(id)?.server
  }

  /** All known servers, including draining ones. */
  all(): BackendServer[] {
    return [...this.#known.values()].map(({ server }) => server)
  }

  /**
   * Servers of a service that accept new requests; only those of `version` if it is
   * given.
   */
  ready(service: string, version?: string): BackendServer[] {
    const nowMs = this.clock()
    const matching: BackendServer[] = []
    for (const { server, usableFromMs = 0, usableUntilMs } of this.#known.values()) {
      if (usableUntilMs !== undefined && nowMs >= usableUntilMs) {
        this.#forget(server)
        continue
      }
      if (server.service !== service || server.isDraining) continue
      if (nowMs < usableFromMs) continue
      if (version === undefined || server.version === version) matching.push(server)
    }
    return matching
  }

  #put(server: BackendServer): void {
    const previous = this.#known.get(server.id)?.server
    if (previous && previous.startedAtMs !== server.startedAtMs)
      this.onRemoved(previous, server)
    this.#known.set(server.id, { server })
  }

  #putRestored(server: BackendServer): void {
    const previous = this.#known.get(server.id)?.server
    const removed = this.#removed.get(server.id)
    if (previous && previous.startedAtMs > server.startedAtMs) this.#remove(server.id)
    else if (previous?.isDraining && previous.startedAtMs === server.startedAtMs) {
      this.#put({ ...server, isDraining: true })
    } else if (!previous && removed?.startedAtMs === server.startedAtMs) {
      const usableFromMs = this.clock() + RESTORED_ENTRY_DELAY_MS
      this.#known.set(server.id, { server, usableFromMs })
    } else this.#put(server)
  }

  #remove(id: string): void {
    const known = this.#known.get(id)
    if (!known) return
    // A draining server does not register again, so its entry needs no grace period.
    if (this.clock() < this.#graceUntilMs && !known.server.isDraining) {
      this.#known.set(id, { ...known, usableUntilMs: this.#graceUntilMs })
      return
    }
    this.#forget(known.server)
  }

  /** Removes a server and remembers its entry for a while. */
  #forget(server: BackendServer): void {
    const { id, startedAtMs } = server
    this.#known.delete(id)
    this.onRemoved(server, undefined)
    const removedAtMs = this.clock()
    this.#removed.delete(id)
    this.#removed.set(id, { startedAtMs, removedAtMs })
    for (const [oldest, entry] of this.#removed) {
      if (removedAtMs - entry.removedAtMs < REMOVED_ENTRY_MEMORY_MS) return
      this.#removed.delete(oldest)
    }
  }
}
