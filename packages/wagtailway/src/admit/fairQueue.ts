/**
 * Waiting requests of many workspaces, served by share and by priority.
 *
 * What each workspace was served lately is held against its share. Workspaces
 * that don't get all they ask for are kept level. A request counts as within its
 * workspace's share if what the workspace was served at the request's priority
 * or above is not beyond that level: less important work of the same workspace
 * doesn't count against it, but makes room for it later.
 */
import type { Clock } from '../clock.js'
import { DecayingSum } from './decayingSum.js'

export interface QueueItem {
  readonly workspace: string
  /** Share of the workspace relative to others. */
  readonly share: number
  /** 0 is served last, 9 first. */
  readonly priority: number
}

interface Lane<T> {
  readonly items: T[]
  /** Items served lately, by priority. */
  readonly served: readonly DecayingSum[]
  share: number
  /** When the workspace last asked for anything. */
  askedMs: number
  /** When a request of the workspace last waited or was refused. */
  shortMs: number
}

export interface FairQueueOptions {
  readonly clock: Clock
  /**
   * Time over which shares are kept, in milliseconds.
   * @default 20_000
   */
  readonly shareMs?: number
}

const PRIORITIES = 10

/** A workspace counts as short of capacity for so long after it had to wait, in milliseconds. */
const SHORT_MS = 2_000

/**
 * A fair queue.
 *
 * @example
 * const queue = FairQueue.create<QueueItem>({ clock })
 * queue.push({ workspace: 'kebele', share: 1, priority: 5 })
 * queue.shift()
 */
export class FairQueue<T extends QueueItem> {
  readonly #lanes = new Map<string, Lane<T>>()
  readonly #clock: Clock
  readonly #shareMs: number
  #size = 0

  private constructor(opts: FairQueueOptions) {
    this.#clock = opts.clock
    this.#shareMs = opts.shareMs ?? 20_000
  }

  static create<T extends QueueItem>(opts: FairQueueOptions): FairQueue<T> {
    return new FairQueue<T>(opts)
  }

  get size(): number {
    return this.#size
  }

  /** Adds an item behind those of its workspace with the same or a higher priority. */
  push(item: T): void {
    const lane = this.#ask(item)
    lane.shortMs = this.#clock()
    lane.items.splice(endOf(lane.items, item.priority), 0, item)
    this.#size += 1
  }

  /** Takes the next item. */
  shift(): T | undefined {
    const lane = this.#nextLane()
    const item = lane?.items.shift()
    if (!lane || !item) return undefined
    this.#size -= 1
    lane.shortMs = this.#clock()
    lane.served[item.priority]?.add(1)
    return item
  }

  /** Notes an item that was served without waiting. */
  pass(item: T): void {
    this.#ask(item).served[item.priority]?.add(1)
  }

  /** Notes an item that was refused. */
  refuse(item: T): void {
    this.#ask(item).shortMs = this.#clock()
  }

  /** Takes an item out; false if it isn't waiting. */
  remove(item: T): boolean {
    const items = this.#lanes.get(item.workspace)?.items
    const index = items?.indexOf(item) ?? -1
    if (!items || index < 0) return false
    items.splice(index, 1)
    this.#size -= 1
    return true
  }

  /** Estimates how many items will be served before `item`, waiting already or not. */
  ahead(item: T): number {
    const lane = this.#ask(item)
    const level = this.#level()
    const own = positionOf(lane.items, item)
    let others = 0
    for (const other of this.#lanes.values()) {
      const head = other.items[0]
      if (other === lane || !head) continue
      const fair = Math.min(other.items.length, ((own + 1) * other.share) / lane.share)
      if (this.#goesFirst(other, head, lane, item, level)) others += fair
    }
    return own + others
  }

  /** Whether the item is within its workspace's share. */
  isWithinShare(item: T): boolean {
    return this.#isEligible(this.#ask(item), item, this.#level())
  }

  /** Everything that waits. */
  items(): T[] {
    return [...this.#lanes.values()].flatMap(({ items }) => items)
  }

  /** Last item of each workspace: the first ones to give up. */
  tails(): T[] {
    return [...this.#lanes.values()].flatMap(({ items }) => items.at(-1) ?? [])
  }

  /** The item's lane; one that was away starts level with the others. */
  #ask(item: T): Lane<T> {
    const nowMs = this.#clock()
    const known = this.#lanes.get(item.workspace)
    const lane = known ?? this.#newLane(item)
    if (!known || nowMs - known.askedMs > this.#shareMs) {
      lane.served.forEach((sum) => {
        sum.set(0)
      })
      lane.served.at(-1)?.set(this.#level() * item.share)
    }
    lane.askedMs = nowMs
    lane.share = item.share
    return lane
  }

  #newLane({ workspace, share }: T): Lane<T> {
    const served = Array.from({ length: PRIORITIES }, () =>
      DecayingSum.create(this.#clock, this.#shareMs),
    )
    const lane = {
      items: [],
      served,
      share,
      askedMs: 0,
      shortMs: Number.NEGATIVE_INFINITY,
    }
    this.#lanes.set(workspace, lane)
    return lane
  }

  /** Least service by share among workspaces that are short; zero if none is. */
  #level(): number {
    const shortAfterMs = this.#clock() - SHORT_MS
    let level = Infinity
    for (const lane of this.#lanes.values()) {
      const isShort = lane.items.length > 0 || lane.shortMs > shortAfterMs
      if (isShort) level = Math.min(level, levelOf(lane, 0))
    }
    return Number.isFinite(level) ? level : 0
  }

  #nextLane(): Lane<T> | undefined {
    const level = this.#level()
    let next: Lane<T> | undefined
    for (const lane of this.#lanes.values()) {
      const [head, best] = [lane.items[0], next?.items[0]]
      if (!head) continue
      if (!next || !best || this.#goesFirst(lane, head, next, best, level)) next = lane
    }
    return next
  }

  /** Within the shares the priority decides, beyond them the service so far. */
  #goesFirst(a: Lane<T>, first: T, b: Lane<T>, second: T, level: number): boolean {
    const eligible = this.#isEligible(a, first, level)
    if (eligible !== this.#isEligible(b, second, level)) return eligible
    if (eligible && first.priority !== second.priority) {
      return first.priority > second.priority
    }
    return levelOf(a, first.priority) < levelOf(b, second.priority)
  }

  #isEligible(lane: Lane<T>, { priority, share }: T, level: number): boolean {
    return levelOf(lane, priority) <= level + 1 / share
  }
}

/** Service at a priority or above, by share. */
function levelOf<T>({ served, share }: Lane<T>, priority: number): number {
  let total = 0
  for (const sum of served.slice(priority)) total += sum.value
  return total / share
}

/** Index behind the items with at least this priority. */
function endOf<T extends QueueItem>(items: readonly T[], priority: number): number {
  const index = items.findIndex((item) => item.priority < priority)
  return index < 0 ? items.length : index
}

function positionOf<T extends QueueItem>(items: readonly T[], item: T): number {
  const index = items.indexOf(item)
  return index < 0 ? endOf(items, item.priority) : index
}
