/**
 * Waiting requests of many workspaces, served by share and by priority.
 *
 * What each workspace was served lately is held against its share. Workspaces
 * that don't get all they ask for are kept level; above the lowest of them a
 * workspace may run only as far as the priority of its next request allows, so
 * that its own less important work can't use up the room for its important one.
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
  readonly served: DecayingSum
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
  /**
   * How far above the lowest level a workspace may run at the highest priority.
   * @default 0.3
   */
  readonly lead?: number
}

const MAX_PRIORITY = 9

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
  readonly #lead: number
  #size = 0

  private constructor(opts: FairQueueOptions) {
    this.#clock = opts.clock
    this.#shareMs = opts.shareMs ?? 20_000
    this.#lead = opts.lead ?? 0.2
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
    lane.served.add(1)
    return item
  }

  /** Notes an item that was served without waiting. */
  pass(item: T): void {
    this.#ask(item).served.add(1)
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

  /** Whether the item's workspace has not run further ahead than the item's priority allows. */
  isWithinShare(item: T): boolean {
    return this.#isEligible(this.#ask(item), item, this.#level())
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
      lane.served.set(this.#level() * item.share)
    }
    lane.askedMs = nowMs
    lane.share = item.share
    return lane
  }

  #newLane({ workspace, share }: T): Lane<T> {
    const served = DecayingSum.create(this.#clock, this.#shareMs)
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
      if (isShort) level = Math.min(level, levelOf(lane))
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

  /** Within their allowances the priority decides, beyond them the service so far. */
  #goesFirst(a: Lane<T>, first: T, b: Lane<T>, second: T, level: number): boolean {
    const eligible = this.#isEligible(a, first, level)
    if (eligible !== this.#isEligible(b, second, level)) return eligible
    if (eligible && first.priority !== second.priority) {
      return first.priority > second.priority
    }
    return levelOf(a) < levelOf(b)
  }

  #isEligible(lane: Lane<T>, { priority, share }: T, level: number): boolean {
    const allowance = level * this.#lead * (priority / MAX_PRIORITY) ** 2
    return levelOf(lane) <= level + allowance + 1 / share
  }
}

/** Service by share. */
function levelOf<T>({ served, share }: Lane<T>): number {
  return served.value / share
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
