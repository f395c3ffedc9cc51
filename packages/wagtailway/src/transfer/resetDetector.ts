/** Detects connection resets that are reported as a normal end. */
import type { Socket } from 'node:net'
import { bindOwner } from '../process/errorOwner.js'

/**
 * Watches one connection. If a reset arrives together with data, libuv reports the end in the
 * same turn of the event loop as the data; a normal end comes in a later turn.
 *
 * @example
 * const detector = ResetDetector.create(socket)
 * socket.on('end', () => console.log(detector.mayBeReset))
 * detector.close()
 */
export class ResetDetector {
  #mayBeReset = false
  #hasDataThisTurn = false

  private constructor(private readonly socket: Socket) {
    socket.on('data', this.#onData)
    socket.on('end', this.#onEnd)
  }

  static create(socket: Socket): ResetDetector {
    return new ResetDetector(socket)
  }

  /** Whether the connection ended in a way that may have been a reset. */
  get mayBeReset(): boolean {
    return this.#mayBeReset
  }

  /** Stops watching; the connection may be used again. */
  close(): void {
    this.socket.off('data', this.#onData)
    this.socket.off('end', this.#onEnd)
  }

  readonly #onData = bindOwner(() => {
    if (this.#hasDataThisTurn) return
    this.#hasDataThisTurn = true
    setImmediate(() => {
      this.#hasDataThisTurn = false
    })
  })

  readonly #onEnd = bindOwner(() => {
    if (this.#hasDataThisTurn) this.#mayBeReset = true
  })
}
