/** Queue of membership updates to gossip, least often sent first. */
import { SENDS_PER_DOUBLING, UPDATES_PER_MESSAGE } from './constants.js'
import type { MemberUpdate } from './member.js'

interface QueuedUpdate {
  readonly update: MemberUpdate
  sends: number
}

/**
 * Queue that sends each update a number of times that grows with the logarithm of the
 * number of members.
 *
 * @example
 * const queue = UpdateQueue.create()
 * queue.add(update)
 * queue.takeBatch(430)
 */
export class UpdateQueue {
  readonly #queued = new Map<string, QueuedUpdate>()

  static create(): UpdateQueue {
    return new UpdateQueue()
  }

  get size(): number {
    return this.#queued.size
  }

  /** Adds an update; it replaces an earlier update of the same node. */
  add(update: MemberUpdate): void {
    this.#queued.set(update.node, { update, sends: 0 })
  }

  /**
   * Takes the updates for the next message.
   *
   * @param memberCount Number of other members.
   */
  takeBatch(memberCount: number): MemberUpdate[] {
    if (this.#queued.size === 0) return []
    const maxSends = SENDS_PER_DOUBLING * Math.ceil(Math.log2(memberCount + 2))
    const batch = [...this.#queued.values()]
      .sort((a, b) => a.sends - b.sends)
      .slice(0, UPDATES_PER_MESSAGE)
    for (const queued of batch) {
      queued.sends += 1
      if (queued.sends >= maxSends) this.#queued.delete(queued.update.node)
    }
    return batch.map(({ update }) => update)
  }
}
