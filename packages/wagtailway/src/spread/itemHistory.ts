/** Versions of a set of named items, and what changed between two of them. */
import { hash32 } from '../hash.js'

/** One item, as JSON. */
export interface Item {
  readonly key: string
  readonly json: string
}

/** What turns one version into another. */
export interface ItemDelta {
  /** Whether `changed` is the whole set, because the older version is not kept. */
  readonly whole: boolean
  readonly changed: readonly Item[]
  readonly removed: readonly string[]
  /** Hash of the set that must result. */
  readonly hash: number
}

/** Items by their key. */
export type ItemSet = ReadonlyMap<string, string>

/** Hash of a set, whatever its order; never zero. */
export function hashItems(items: ItemSet): number {
  let all = 0
  for (const [key, json] of items) all = (all ^ hash32(`${key}\n${json}`)) >>> 0
  return all === 0 ? 1 : all
}

/** Applies a delta; `undefined` if the result is not what the sender has. */
export function applyDelta(items: ItemSet, delta: ItemDelta): ItemSet | undefined {
  const next = new Map(delta.whole ? [] : items)
  for (const key of delta.removed) next.delete(key)
  for (const { key, json } of delta.changed) next.set(key, json)
  return hashItems(next) === delta.hash ? next : undefined
}

/**
 * The newest version and a few before it.
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

  private constructor(private readonly keep: number) {}

  /** @param keep Versions that are kept. */
  static create(keep: number): ItemHistory {
    return new ItemHistory(keep)
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
      if (this.#versions.size <= this.keep) break
      this.#versions.delete(oldest)
    }
  }

  /** Changes since `version`; the whole set if that is not kept. */
  deltaFrom(version: number): ItemDelta {
    const before = this.#versions.get(version)
    const changed = [...this.#latest]
      .filter(([key, json]) => before?.get(key) !== json)
      .map(([key, json]) => ({ key, json }))
    const removed = [...(before?.keys() ?? [])].filter((key) => !this.#latest.has(key))
    return { whole: before === undefined, changed, removed, hash: this.#hash }
  }
}
