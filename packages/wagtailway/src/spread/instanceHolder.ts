/**
 * The platform's list of instances, as last polled by this node or by a peer.
 *
 * The list has no revision and lags, so that two polls may return its versions in any
 * order. The most recent poll wins, with one exception: after an instance was seen
 * draining, its previous live description is held back for a while, so that a draining
 * server doesn't appear live again.
 */
import type { Clock } from '../clock.js'
import {
  ItemHistory,
  applyDelta,
  hashItems,
  type ItemDelta,
  type ItemSet,
} from './itemHistory.js'

/** Number of latest versions from which a delta can be computed. */
const MAX_VERSIONS = 16

export interface InstanceHolderOptions<T> {
  readonly clock: Clock
  readonly idOf: (instance: T) => string
  readonly parse: (json: unknown) => T
  readonly isDraining: (instance: T) => boolean
  /**
   * Time for which an instance that was seen draining isn't returned under its previous
   * live description, in milliseconds; must exceed the lag of the list.
   * @default 30_000
   */
  readonly holdBackMs?: number
}

/**
 * Holds the result of the most recent poll of the list.
 *
 * @example
 * const holder = InstanceHolder.create({ clock, idOf, parse, isDraining })
 * holder.applyPoll(instances, 12)
 */
export class InstanceHolder<T> {
  readonly #history = ItemHistory.create(MAX_VERSIONS)
  /**
   * Last live description of each instance that was then seen draining, by instance id.
   */
  readonly #heldBack = new Map<string, { json: string; heldBackAtMs: number }>()
  #visibleInstances: readonly T[] | undefined
  /** Array of this node's latest poll, as long as the held list equals it. */
  #polledList: readonly T[] | undefined
  #parsed = new Map<string, T>()
  #polledAtMs = Number.NEGATIVE_INFINITY

  private constructor(private readonly opts: InstanceHolderOptions<T>) {}

  static create<T>(opts: InstanceHolderOptions<T>): InstanceHolder<T> {
    return new InstanceHolder(opts)
  }

  /**
   * Instances in the list that aren't held back; the same array until something changes.
   */
  get instances(): readonly T[] {
    const expiredBeforeMs = this.opts.clock() - (this.opts.holdBackMs ?? 30_000)
    for (const [id, { heldBackAtMs }] of this.#heldBack) {
      if (heldBackAtMs >= expiredBeforeMs) continue
      this.#heldBack.delete(id)
      this.#visibleInstances = undefined
    }
    this.#visibleInstances ??= this.#selectVisible()
    return this.#visibleInstances
  }

  /** Hash of the list; zero before the first list. */
  get hash(): number {
    return this.#history.hash
  }

  /** Age of the most recent poll, in milliseconds. */
  get ageMs(): number {
    return this.opts.clock() - this.#polledAtMs
  }

  /** Applies a poll made `ageMs` ago; returns whether the list changed. */
  applyPoll(instances: readonly T[], ageMs: number): boolean {
    if (instances === this.#polledList) {
      this.confirm(this.hash, ageMs)
      return false
    }
    const { idOf } = this.opts
    const items = instances.map((i) => [idOf(i), JSON.stringify(i)] as const)
    const changed = this.#replaceItems(new Map(items), ageMs)
    this.#polledList = hashItems(new Map(items)) === this.hash ? instances : undefined
    return changed
  }

  /**
   * Records that a poll returned the list with this hash `ageMs` ago; ignored if another
   * list is held.
   */
  confirm(hash: number, ageMs: number): void {
    if (hash !== this.hash) return
    this.#polledAtMs = Math.max(this.#polledAtMs, this.opts.clock() - ageMs)
  }

  /** Changes since the version with this hash, to send to a peer. */
  deltaFrom(hash: number): ItemDelta {
    return this.#history.deltaFrom(hash)
  }

  /**
   * Applies a peer's changes, based on a poll `ageMs` ago; returns whether the list
   * changed.
   */
  receive(delta: ItemDelta, ageMs: number): boolean {
    const items = applyDelta(this.#history.latest, delta)
    return items ? this.#replaceItems(items, ageMs) : false
  }

  #replaceItems(items: ItemSet, ageMs: number): boolean {
    const polledAtMs = this.opts.clock() - ageMs
    if (polledAtMs <= this.#polledAtMs) return false
    this.#polledAtMs = polledAtMs
    const hash = hashItems(items)
    if (hash === this.hash) return false
    const previousItems = this.#history.latest
    this.#polledList = undefined
    this.#history.put(hash, items)
    this.#parsed = new Map([...items.values()].map((json) => [json, this.#parse(json)]))
    this.#holdBackDrained(previousItems, items)
    this.#visibleInstances = undefined
    return true
  }

  #selectVisible(): T[] {
    return [...this.#history.latest]
      .filter(([id, json]) => this.#heldBack.get(id)?.json !== json)
      .flatMap(([, json]) => this.#parsed.get(json) ?? [])
  }

  #holdBackDrained(previousItems: ItemSet, items: ItemSet): void {
    for (const [id, json] of items) {
      const old = previousItems.get(id)
      if (old === undefined || !this.#isDraining(json) || this.#isDraining(old)) continue
      this.#heldBack.set(id, { json: old, heldBackAtMs: this.opts.clock() })
    }
  }

  #isDraining(json: string): boolean {
    return this.opts.isDraining(this.#parse(json))
  }

  #parse(json: string): T {
    return this.#parsed.get(json) ?? this.opts.parse(JSON.parse(json))
  }
}
