/**
 * The platform's list of instances as it was last seen, by this node or by a peer.
 *
 * The list has no revision, and two looks at a lagging list may come in either
 * order. The younger look wins, except that an instance once seen leaving is
 * held back for a while: a leaving server must not come back to life.
 */
import type { Clock } from '../clock.js'
import {
  ItemHistory,
  applyDelta,
  hashItems,
  type ItemDelta,
  type ItemSet,
} from './itemHistory.js'

/** Versions from which a delta can be given. */
const KEPT_VERSIONS = 16

export interface InstanceHolderOptions<T> {
  readonly clock: Clock
  readonly idOf: (instance: T) => string
  readonly parse: (json: unknown) => T
  readonly isDraining: (instance: T) => boolean
  /**
   * Time for which an instance seen leaving is kept from coming back under the
   * same description, in milliseconds; longer than the list's lag.
   * @default 30_000
   */
  readonly holdBackMs?: number
}

/**
 * Holds the newest look at the list.
 *
 * @example
 * const holder = InstanceHolder.create({ clock, idOf, parse, isLeaving })
 * holder.saw(instances, 12)
 */
export class InstanceHolder<T> {
  readonly #history = ItemHistory.create(KEPT_VERSIONS)
  /** Descriptions that were live before they were seen leaving. */
  readonly #heldBack = new Map<string, { json: string; sinceMs: number }>()
  #view: readonly T[] | undefined
  /** The array of the newest own look, while it is what is held. */
  #seen: readonly T[] | undefined
  #parsed = new Map<string, T>()
  #sawAtMs = Number.NEGATIVE_INFINITY

  private constructor(private readonly opts: InstanceHolderOptions<T>) {}

  static create<T>(opts: InstanceHolderOptions<T>): InstanceHolder<T> {
    return new InstanceHolder(opts)
  }

  /** The instances, without those that are held back; a new array only after a change. */
  get instances(): readonly T[] {
    const oldest = this.opts.clock() - (this.opts.holdBackMs ?? 30_000)
    for (const [id, { sinceMs }] of this.#heldBack) {
      if (sinceMs >= oldest) continue
      this.#heldBack.delete(id)
      this.#view = undefined
    }
    this.#view ??= this.#visible()
    return this.#view
  }

  /** Hash of the list; zero before the first. */
  get hash(): number {
    return this.#history.hash
  }

  /** Age of the newest look, in milliseconds. */
  get ageMs(): number {
    return this.opts.clock() - this.#sawAtMs
  }

  /** Takes in a look made `ageMs` ago; returns whether the list changed. */
  saw(instances: readonly T[], ageMs: number): boolean {
    if (instances === this.#seen) {
      this.confirm(this.hash, ageMs)
      return false
    }
    const { idOf } = this.opts
    const items = instances.map((i) => [idOf(i), JSON.stringify(i)] as const)
    const changed = this.#takeOver(new Map(items), ageMs)
    this.#seen = hashItems(new Map(items)) === this.hash ? instances : undefined
    return changed
  }

  /** Notes that the same list was seen `ageMs` ago. */
  confirm(hash: number, ageMs: number): void {
    if (hash !== this.hash) return
    this.#sawAtMs = Math.max(this.#sawAtMs, this.opts.clock() - ageMs)
  }

  /** Changes since the version with this hash, for a peer. */
  deltaFrom(hash: number): ItemDelta {
    return this.#history.deltaFrom(hash)
  }

  /** Takes in a peer's changes, made of a look `ageMs` ago; returns whether the list changed. */
  receive(delta: ItemDelta, ageMs: number): boolean {
    const items = applyDelta(this.#history.latest, delta)
    return items ? this.#takeOver(items, ageMs) : false
  }

  #takeOver(items: ItemSet, ageMs: number): boolean {
    const sawAtMs = this.opts.clock() - ageMs
    if (sawAtMs <= this.#sawAtMs) return false
    this.#sawAtMs = sawAtMs
    const hash = hashItems(items)
    if (hash === this.hash) return false
    const before = this.#history.latest
    this.#seen = undefined
    this.#history.put(hash, items)
    this.#parsed = new Map([...items.values()].map((json) => [json, this.#parse(json)]))
    this.#holdBack(before, items)
    this.#view = undefined
    return true
  }

  #visible(): T[] {
    return [...this.#history.latest]
      .filter(([id, json]) => this.#heldBack.get(id)?.json !== json)
      .flatMap(([, json]) => this.#parsed.get(json) ?? [])
  }

  #holdBack(before: ItemSet, items: ItemSet): void {
    for (const [id, json] of items) {
      const live = before.get(id)
      if (live === undefined || !this.#leaves(json) || this.#leaves(live)) continue
      this.#heldBack.set(id, { json: live, sinceMs: this.opts.clock() })
    }
  }

  #leaves(json: string): boolean {
    return this.opts.isDraining(this.#parse(json))
  }

  #parse(json: string): T {
    return this.#parsed.get(json) ?? this.opts.parse(JSON.parse(json))
  }
}
