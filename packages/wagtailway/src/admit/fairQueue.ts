/**
 * Weighted fair queue over workspaces with priorities.
 *
 * Each workspace's recent service is divided by its share. The fair level is the
 * lowest such value among workspaces that are short of capacity; scheduling keeps
 * these workspaces at the same level. A request is within its workspace's share if
 * the workspace's service at the request's priority or above is at most about one
 * request over the fair level. Service at lower priorities doesn't count against
 * the request, but service at higher ones does: a workspace's important requests
 * are served first, at the expense of its less important ones.
 */
import type { Clock } from '../clock.js'
import { DecayingSum } from './decayingSum.js'

export interface QueueItem {
  readonly workspace: string
  /** Weight of the workspace relative to others. */
  readonly share: number
  /** 0 is served last, 9 first. */
  readonly priority: number
}

/** Queue and recent service of one workspace. */
interface Lane<T> {
  readonly items: T[]
  /** Number of items served recently, by priority. */
  readonly served: readonly DecayingSum[]
  share: number
  /** When the queue last handled an item of the workspace. */
  lastRequestMs: number
  /** When an item of the workspace was last queued, served from the queue or refused. */
  lastShortageMs: number
}

export interface FairQueueOptions {
  readonly clock: Clock
  /**
   * Time constant with which past service decays, in milliseconds. A workspace that was idle
   * for longer starts again at the fair level.
   * @default 20_000
   */
  readonly shareWindowMs?: number
}

const PRIORITIES = 10

/**
 * Time for which a workspace counts as short of capacity after an item of it was
 * queued, served from the queue or refused, in milliseconds.
 */
const SHORTAGE_MS = 2_000

/**
 * Queue that serves workspaces in proportion to their shares.
 *
 * @example
 * const queue = FairQueue.create<QueueItem>({ clock })
 * queue.push({ workspace: 'kebele', share: 1, priority: 5 })
 * queue.shift()
 */
export class FairQueue<T extends QueueItem> {
  readonly #lanes = new Map<string, Lane<T>>()
  readonly #clock: Clock
  readonly #shareWindowMs: number
  #size = 0

  private constructor(opts: FairQueueOptions) {
    this.#clock = opts.clock
    this.#shareWindowMs = opts.shareWindowMs ?? 20_000
  }

  static create<T extends QueueItem>(opts: FairQueueOptions): FairQueue<T> {
    return new FairQueue<T>(opts)
  }

  get size(): number {
    return this.#size
  }

  /** Queues an item behind those of its workspace with the same or a higher priority. */
  push(item: T): void {
    const lane = this.#laneFor(item)
    lane.lastShortageMs = this.#clock()
    lane.items.splice(insertionIndex(lane.items, item.priority), 0, item)
    this.#size += 1
  }

  /** Removes and returns the next item to serve. */
  shift(): T | undefined {
    const lane = this.#nextLane()
    const item = lane?.items.shift()
    if (!lane || !item) return undefined
    this.#size -= 1
    lane.lastShortageMs = this.#clock()
    lane.served[item.priority]?.add(1)
    return item
  }

  /** Records an item that was served without being queued. */
  recordServed(item: T): void {
    this.#laneFor(item).served[item.priority]?.add(1)
  }

  /** Records an item that was refused. */
  recordRefused(item: T): void {
    this.#laneFor(item).lastShortageMs = this.#clock()
  }

  /** Removes an item from the queue; returns false if it isn't queued. */
  remove(item: T): boolean {
    const items = this.#lanes.get(item.workspace)?.items
    const index = items?.indexOf(item) ?? -1
    if (!items || index < 0) return false
    items.splice(index, 1)
    this.#size -= 1
    return true
  }

  /**
   * Estimates how many items will be served before `item`, which may be queued already
   * or not.
   */
  itemsAhead(item: T): number {
    const lane = this.#laneFor(item)
    const level = this.#fairLevel()
    const ownAhead = queuePosition(lane.items, item)
    let othersAhead = 0
    for (const otherLane of this.#lanes.values()) {
      const head = otherLane.items[0]
      if (otherLane === lane || !head) continue
      const servedMeanwhile = Math.min(
        otherLane.items.length,
        ((ownAhead + 1) * otherLane.share) / lane.share,
      )
      if (this.#precedes(otherLane, head, lane, item, level))
        othersAhead += servedMeanwhile
    }
    return ownAhead + othersAhead
  }

  /** Whether the item is within its workspace's share. */
  isWithinShare(item: T): boolean {
    return this.#isWithinFairLevel(this.#laneFor(item), item, this.#fairLevel())
  }

  /** All queued items. */
  items(): T[] {
    return [...this.#lanes.values()].flatMap(({ items }) => items)
  }

  /** Last queued item of each workspace: the first to be refused under overload. */
  tails(): T[] {
    return [...this.#lanes.values()].flatMap(({ items }) => items.at(-1) ?? [])
  }

  /** The lane of the item's workspace; a new or long idle workspace starts at the fair level. */
  #laneFor(item: T): Lane<T> {
    const nowMs = this.#clock()
    const existingLane = this.#lanes.get(item.workspace)
    const lane = existingLane ?? this.#newLane(item)
    if (!existingLane || nowMs - existingLane.lastRequestMs > this.#shareWindowMs) {
      lane.served.forEach((sum) => {
        sum.set(0)
      })
      lane.served.at(-1)?.set(this.#fairLevel() * item.share)
    }
    lane.lastRequestMs = nowMs
    lane.share = item.share
    return lane
  }

  #newLane({ workspace, share }: T): Lane<T> {
    const served = Array.from({ length: PRIORITIES }, () =>
      DecayingSum.create(this.#clock, this.#shareWindowMs),
    )
    const lane = {
      items: [],
      served,
      share,
      lastRequestMs: 0,
      lastShortageMs: Number.NEGATIVE_INFINITY,
    }
    this.#lanes.set(workspace, lane)
    return lane
  }

  /** Lowest service per share among workspaces short of capacity; zero if there are none. */
  #fairLevel(): number {
    const shortageSinceMs = this.#clock() - SHORTAGE_MS
    let level = Infinity
    for (const lane of this.#lanes.values()) {
      const isShort = lane.items.length > 0 || lane.lastShortageMs > shortageSinceMs
      if (isShort) level = Math.min(level, servicePerShare(lane, 0))
    }
    return Number.isFinite(level) ? level : 0
  }

  #nextLane(): Lane<T> | undefined {
    const level = this.#fairLevel()
    let next: Lane<T> | undefined
    for (const lane of this.#lanes.values()) {
      const [head, nextHead] = [lane.items[0], next?.items[0]]
      if (!head) continue
      if (!next || !nextHead || this.#precedes(lane, head, next, nextHead, level))
        next = lane
    }
    return next
  }

  /** Orders items within their shares by priority, all others by service per share. */
  #precedes(laneA: Lane<T>, itemA: T, laneB: Lane<T>, itemB: T, level: number): boolean {
    const isWithin = this.#isWithinFairLevel(laneA, itemA, level)
    if (isWithin !== this.#isWithinFairLevel(laneB, itemB, level)) return isWithin
    if (isWithin && itemA.priority !== itemB.priority) {
      return itemA.priority > itemB.priority
    }
    return servicePerShare(laneA, itemA.priority) < servicePerShare(laneB, itemB.priority)
  }

  #isWithinFairLevel(lane: Lane<T>, { priority, share }: T, level: number): boolean {
    return servicePerShare(lane, priority) <= level + 1 / share
  }
}

/** Recent service at a priority or above, divided by the workspace's share. */
function servicePerShare<T>({ served, share }: Lane<T>, priority: number): number {
  let total = 0
  for (const sum of served.slice(priority)) total += sum.value
  return total / share
}

/** Index behind the last item with at least this priority. */
function insertionIndex<T extends QueueItem>(
  items: readonly T[],
  priority: number,
): number {
  const index = items.findIndex((item) => item.priority < priority)
  return index < 0 ? items.length : index
}

/** Index of a queued item, or the index at which the item would be queued. */
function queuePosition<T extends QueueItem>(items: readonly T[], item: T): number {
  const index = items.indexOf(item)
  return index < 0 ? insertionIndex(items, item.priority) : index
}
