/** Which shared prompt prefixes each backend server has prefilled recently, per model. */
import type { Clock } from '@wagtailway/core'

/** Maximum number of entries; the oldest are evicted first. */
const MAX_ENTRIES = 4_096

/** Time after which a server may have evicted a prefix from its cache, in milliseconds. */
const ENTRY_TTL_MS = 30_000

/**
 * Prefixes that requests of this process have added to the servers' prefix caches.
 *
 * @example
 * prefixes.record('s1', 'large part-7')
 * prefixes.has('s1', 'large part-7') // true for half a minute
 */
export class CachedPrefixes {
  readonly #recordedAtMs = new Map<string, number>()

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): CachedPrefixes {
    return new CachedPrefixes(clock)
  }

  record(serverId: string, key: string): void {
    const entry = `${serverId} ${key}`
    this.#recordedAtMs.delete(entry)
    this.#recordedAtMs.set(entry, this.clock())
    if (this.#recordedAtMs.size <= MAX_ENTRIES) return
    const [oldest] = this.#recordedAtMs.keys()
    if (oldest !== undefined) this.#recordedAtMs.delete(oldest)
  }

  /** Forgets a server that has left or started again: its cache is empty then. */
  forget(serverId: string): void {
    for (const entry of this.#recordedAtMs.keys())
      if (entry.startsWith(`${serverId} `)) this.#recordedAtMs.delete(entry)
  }

  has(serverId: string, key: string): boolean {
    const recordedAtMs = this.#recordedAtMs.get(`${serverId} ${key}`)
    return recordedAtMs !== undefined && this.clock() - recordedAtMs < ENTRY_TTL_MS
  }
}
