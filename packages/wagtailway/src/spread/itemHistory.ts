/** Versions of a set of items, and the deltas between them. */
import { hash32 } from '../hash.js'

/** One item, as JSON. */
export interface Item {
  readonly key: string
  readonly json: string
}

/** Changes that turn one version into another. */
export interface ItemDelta {
  /**
   * Whether `changed` is the whole set, because the older version is no longer retained.
   */
  readonly whole: boolean
  readonly changed: readonly Item[]
  readonly removed: readonly string[]
  /** Hash of the resulting set. */
  readonly hash: number
}

/** Items by their key. */
export type ItemSet = ReadonlyMap<string, string>

/** Hash of a set, independent of the order of its items; never zero. */
export function hashItems(items: ItemSet): number {
  let hash = 0
  for (const [key, json] of items) hash = (hash ^ hash32(`${key}\n${json}`)) >>> 0
  return hash === 0 ? 1 : hash
}

/** Applies a delta; returns `undefined` if the result differs from the sender's set. */
export function applyDelta(items: ItemSet, delta: ItemDelta): ItemSet | undefined {
  const next = new Map(delta.whole ? [] : items)
  for (const key of delta.removed) next.delete(key)
  for (const { key, json } of delta.changed) next.set(key, json)
  return hashItems(next) === delta.hash ? next : undefined
}

/**
 * The newest version and a few older ones.
 *
 * @example
 * const history = ItemHistory.create(16)
 * history.put(7, items)
 * history.deltaFrom(5)
 */
export class ItemHistory {
  readonly #versions = new Map<number, ItemSet>()
  #latest: ItemSet = new Map()
  #hash = 0

  private constructor(private readonly maxVersions: number) {}

  /** @param maxVersions Maximum number of versions retained. */
  static create(maxVersions: number): ItemHistory {
    return new ItemHistory(maxVersions)
  }

  get latest(): ItemSet {
    return this.#latest
  }

  get hash(): number {
    return this.#hash
  }

  put(version: number, items: ItemSet): void {
    this.#versions.delete(version)
    this.#versions.set(version, items)
    this.#latest = items
    this.#hash = hashItems(items)
    for (const oldest of this.#versions.keys()) {
      if (this.#versions.size <= this.maxVersions) break
      this.#versions.delete(oldest)
    }
  }

  /** Changes since `version`; the whole set if that version isn't retained. */
  deltaFrom(version: number): ItemDelta {
    const previous = this.#versions.get(version)
    const changed = [...this.#latest]
      .filter(([key, json]) => previous?.get(key) !== json)
      .map(([key, json]) => ({ key, json }))
    const removed = [...(previous?.keys() ?? [])].filter((key) => !this.#latest.has(key))
    return { whole: previous === undefined, changed, removed, hash: this.#hash }
  }
}
