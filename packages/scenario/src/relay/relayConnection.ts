/** One connection of a TCP relay. */
import type { Socket } from 'node:net'
import type { RelayState } from './tcpRelay.js'

/**
 * Forwards bytes between two sockets; can delay or discard them.
 *
 * @example
 * const connection = RelayConnection.create(socket, upstream, () => connections.delete(connection))
 * connection.set({ type: 'slow', delayMs: 50 })
 */
export class RelayConnection {
  #delayMs = 0
  #discardRequests = false
  #discardResponses = false
  #closed = false

  private constructor(
    private readonly socket: Socket,
    private readonly upstream: Socket,
    private readonly onClosed: () => void,
  ) {}

  static create(socket: Socket, upstream: Socket, onClosed: () => void): RelayConnection {
    const connection = new RelayConnection(socket, upstream, onClosed)
    connection.#forward(socket, upstream, () => connection.#discardRequests)
    connection.#forward(upstream, socket, () => connection.#discardResponses)
    return connection
  }

  /**
   * Applies the relay's state. Discarding is never turned off again, because a stream
   * can't continue after lost bytes.
   */
  set(state: RelayState): void {
    this.#delayMs = state.type === 'slow' ? state.delayMs : 0
    if (state.type === 'silent') this.#discardRequests = true
    if (state.type === 'silent' || state.type === 'answersLost')
      this.#discardResponses = true
  }

  /** Resets both sides. */
  close(): void {
    if (this.#closed) return
    this.#closed = true
    for (const socket of [this.socket, this.upstream]) {
      // Node does not close the handle of a socket that is reset after its end was sent.
      if (socket.writableEnded) socket.destroy()
      else socket.resetAndDestroy()
    }
    this.onClosed()
  }

  #forward(from: Socket, to: Socket, isDiscarding: () => boolean): void {
    from.on('data', (chunk: Buffer) => {
      this.#afterDelay(() => {
        if (isDiscarding() || to.destroyed) return
        if (!to.write(chunk)) this.#pauseUntilDrained(from, to)
      })
    })
    from.on('end', () => {
      this.#afterDelay(() => {
        if (!isDiscarding()) to.end()
      })
    })
    from.on('error', () => {
      this.close()
    })
    from.on('close', () => {
      // While bytes are discarded, the other side must not notice that its peer closed.
      if (isDiscarding()) return
      this.#afterDelay(() => {
        if (to.destroyed) this.close()
        else to.end()
      })
    })
  }

  #afterDelay(action: () => void): void {
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
