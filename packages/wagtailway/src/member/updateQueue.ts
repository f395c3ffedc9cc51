/** Updates that are still to be sent on, newest and least sent first. */
import { SENDS_PER_DOUBLING, UPDATES_PER_MESSAGE } from './constants.js'
import type { MemberUpdate } from './member.js'

interface Queued {
  readonly update: MemberUpdate
  sends: number
}

/**
 * Queue of updates, each sent on a number of times that grows with the logarithm of the members.
 *
 * @example
 * const queue = UpdateQueue.create()
 * queue.add(update)
 * queue.take(430)
 */
export class UpdateQueue {
  readonly #queued = new Map<string, Queued>()

  static create(): UpdateQueue {
    return new UpdateQueue()
  }

  get size(): number {
    return this.#queued.size
  }

  /** Adds an update; it replaces an earlier one of the same node. */
  add(update: MemberUpdate): void {
    this.#queued.set(update.node, { update, sends: 0 })
  }

  /** The updates of the next message among `members` members. */
  take(members: number): MemberUpdate[] {
    if (this.#queued.size === 0) return []
    const limit = SENDS_PER_DOUBLING * Math.ceil(Math.log2(members + 2))
    const chosen = [...this.#queued.values()]
      .sort((a, b) => a.sends - b.sends)
      .slice(0, UPDATES_PER_MESSAGE)
    for (const queued of chosen) {
      queued.sends += 1
      if (queued.sends >= limit) this.#queued.delete(queued.update.node)
    }
    return chosen.map(({ update }) => update)
  }
}
