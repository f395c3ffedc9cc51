/** Whether the client of a connection is still there. */
import type { Socket } from 'node:net'
import { bindOwner } from '../process/errorOwner.js'

/**
 * How a connection ended: its client ended its sending side, as a close does, reset it, or this
 * side has closed it.
 */
export type ConnectionEnd = 'ended' | 'reset' | 'closed'

/**
 * Tells when a client has left its connection, whatever is owed on it. The runtime tells the
 * oldest response of a connection only, and only once the connection is closed.
 *
 * @example
 * const presence = ClientPresence.of(req.socket)
 * const undo = presence.onLeave(() => attempt.cancel())
 */
export class ClientPresence {
  static readonly #bySocket = new WeakMap<Socket, ClientPresence>()
  #leftBy: ConnectionEnd | undefined
  readonly #listeners = new Set<() => void>()

  private constructor(socket: Socket) {
    socket.once('end', () => {
      this.#leave('ended')
    })
    socket.once('error', () => {
      this.#leave('reset')
    })
    socket.once('close', () => {
      this.#leave('closed')
    })
  }

  /** The presence of the client of a connection; the same for all its requests. */
  static of(socket: Socket): ClientPresence {
    let presence = ClientPresence.#bySocket.get(socket)
    if (!presence) {
      presence = new ClientPresence(socket)
      ClientPresence.#bySocket.set(socket, presence)
    }
    return presence
  }

  /** How the client left, or `undefined` while it is there. */
  get leftBy(): ConnectionEnd | undefined {
    return this.#leftBy
  }

  /**
   * Calls `listener` once the client leaves, and never if it already has: `leftBy` tells that.
   * Returns what undoes it.
   */
  onLeave(listener: () => void): () => void {
    const owned = bindOwner(listener)
    this.#listeners.add(owned)
    return () => {
      this.#listeners.delete(owned)
    }
  }

  #leave(by: ConnectionEnd): void {
    if (this.#leftBy !== undefined) return
    this.#leftBy = by
    const listeners = [...this.#listeners]
    this.#listeners.clear()
    for (const listener of listeners) listener()
  }
}
