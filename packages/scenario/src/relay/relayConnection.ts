/** One relayed connection. */
import type { Socket } from 'node:net'
import type { RelayState } from './tcpRelay.js'

/**
 * Forwards bytes between two sockets as its state says.
 *
 * @example
 * const connection = RelayConnection.create(socket, upstream, () => connections.delete(connection))
 * connection.set({ type: 'slow', delayMs: 50 })
 */
export class RelayConnection {
  #delayMs = 0
  #requestsLost = false
  #answersLost = false
  #closed = false

  private constructor(
    private readonly socket: Socket,
    private readonly upstream: Socket,
    private readonly onClosed: () => void,
  ) {}

  static create(socket: Socket, upstream: Socket, onClosed: () => void): RelayConnection {
    const connection = new RelayConnection(socket, upstream, onClosed)
    connection.#forward(socket, upstream, () => connection.#requestsLost)
    connection.#forward(upstream, socket, () => connection.#answersLost)
    return connection
  }

  /** Follows the relay's state; lost bytes can't come back, so silence is for good. */
  set(state: RelayState): void {
    this.#delayMs = state.type === 'slow' ? state.delayMs : 0
    if (state.type === 'silent') this.#requestsLost = true
    if (state.type === 'silent' || state.type === 'answersLost') this.#answersLost = true
  }

  /** Resets both sides. */
  close(): void {
    if (this.#closed) return
    this.#closed = true
    this.socket.resetAndDestroy()
    this.upstream.resetAndDestroy()
    this.onClosed()
  }

  #forward(from: Socket, to: Socket, isLost: () => boolean): void {
    from.on('data', (part: Buffer) => {
      this.#later(() => {
        if (isLost() || to.destroyed) return
        if (!to.write(part)) this.#pauseUntilDrained(from, to)
      })
    })
    from.on('end', () => {
      this.#later(() => {
        if (!isLost()) to.end()
      })
    })
    from.on('error', () => {
      this.close()
    })
    from.on('close', () => {
      // A silent connection doesn't tell the other side that its peer is gone.
      if (isLost()) return
      this.#later(() => {
        if (to.destroyed) this.close()
        else to.end()
      })
    })
  }

  #later(action: () => void): void {
    if (this.#delayMs > 0) setTimeout(action, this.#delayMs)
    else action()
  }

  #pauseUntilDrained(from: Socket, to: Socket): void {
    from.pause()
    to.once('drain', () => {
      from.resume()
    })
  }
}
