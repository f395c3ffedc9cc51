/** Which shared parts of prompts each backend server has read lately, for each model. */
import type { Clock } from '@wagtailway/core'

/** Parts that are remembered; the oldest are forgotten first. */
const MOST_PARTS = 4_096

/** Time after which a part may have yielded its place in memory, in milliseconds. */
const PART_LIFE_MS = 30_000

/**
 * Parts that this process has had read.
 *
 * @example
 * parts.note('s1', 'large part-7')
 * parts.has('s1', 'large part-7') // true for half a minute
 */
export class CachedPrefixes {
  readonly #readAtMs = new Map<string, number>()

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): CachedPrefixes {
    return new CachedPrefixes(clock)
  }

  note(serverId: string, key: string): void {
    const entry = `${serverId} ${key}`
    this.#readAtMs.delete(entry)
    this.#readAtMs.set(entry, this.clock())
    if (this.#readAtMs.size <= MOST_PARTS) return
    const [oldest] = this.#readAtMs.keys()
    if (oldest !== undefined) this.#readAtMs.delete(oldest)
  }

  has(serverId: string, key: string): boolean {
    const atMs = this.#readAtMs.get(`${serverId} ${key}`)
    return atMs !== undefined && this.clock() - atMs < PART_LIFE_MS
  }
}
