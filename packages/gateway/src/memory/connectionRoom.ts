/** The connections that one server may hold, and which of them ends when there are too many. */
import type { Clock } from '@wagtailway/core'

/**
 * Time for which a connection may be without a whole request before it ends in favor of a new
 * one, in milliseconds: a caller that has just connected sends its request within this time.
 */
const MIN_UNUSED_MS = 200

export interface ConnectionRoomOptions<C> {
  readonly clock: Clock
  readonly maxCount: number
  /** Whether a connection may end: none of its requests has been passed on. */
  readonly mayEnd: (connection: C) => boolean
  /** Ends a connection that has been without a whole request for a time, in milliseconds. */
  readonly end: (connection: C, unusedMs: number) => void
}

/**
 * Keeps the number of connections under a bound. At the bound, the connection that has been
 * without a whole request for longest ends in favor of a new one, so that callers go before
 * connections that are silent, idle, or send their request very slowly.
 *
 * @example
 * const room = ConnectionRoom.create({ clock, maxCount: 2_000, mayEnd, end })
 * if (!room.tryAdd(socket)) socket.destroy()
 * room.recordUse(socket)
 * room.remove(socket)
 */
export class ConnectionRoom<C> {
  /** When each connection was opened or had its last whole request; the oldest first. */
  readonly #usedAtMs = new Map<C, number>()

  private constructor(private readonly opts: ConnectionRoomOptions<C>) {}

  static create<C>(opts: ConnectionRoomOptions<C>): ConnectionRoom<C> {
    return new ConnectionRoom(opts)
  }

  get count(): number {
    return this.#usedAtMs.size
  }

  /** Adds a connection, if need be in place of another one; `false` if there is no room. */
  tryAdd(connection: C): boolean {
    if (this.count >= this.opts.maxCount && !this.#endUnused()) return false
    this.#usedAtMs.set(connection, this.opts.clock())
    return true
  }

  /** Records a whole request, or its answer. */
  recordUse(connection: C): void {
    // The order of a map is that of the insertions.
    if (this.#usedAtMs.delete(connection))
      this.#usedAtMs.set(connection, this.opts.clock())
  }

  remove(connection: C): void {
    this.#usedAtMs.delete(connection)
  }

  #endUnused(): boolean {
    const nowMs = this.opts.clock()
    for (const [connection, usedAtMs] of this.#usedAtMs) {
      const unusedMs = nowMs - usedAtMs
      if (unusedMs < MIN_UNUSED_MS) return false
      if (!this.opts.mayEnd(connection)) continue
      this.remove(connection)
      this.opts.end(connection, unusedMs)
      return true
    }
    return false
  }
}
