/** Connections of callers, and the answers that each of them still owes. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { bindOwner } from '@wagtailway/core'

/**
 * Knows of each open connection which answers are not yet written, also those that were
 * handed to it completely: a slow caller may read them for seconds.
 *
 * @example
 * const connections = CallerConnections.create()
 * server.on('connection', (socket) => connections.add(socket))
 * connections.begin(req, res)
 * connections.closeUnowed()
 */
export class CallerConnections {
  /** Answers owed on each open connection, in the order of their requests. */
  readonly #owed = new Map<Socket, Set<ServerResponse>>()
  /** Connections on which no request has come yet. */
  readonly #unused = new Set<Socket>()
  /** Connections that close once what is owed on them is written. */
  readonly #ending = new WeakSet<Socket>()

  static create(): CallerConnections {
    return new CallerConnections()
  }

  /** Answers that are owed on all connections together. */
  get owedCount(): number {
    let count = 0
    for (const answers of this.#owed.values()) count += answers.size
    return count
  }

  /** Bytes of answers that are not yet written to their connections. */
  get unwrittenBytes(): number {
    let bytes = 0
    for (const socket of this.#owed.keys()) bytes += socket.writableLength
    return bytes
  }

  /** Bytes that the connections have taken; rises while a caller reads an answer. */
  get writtenBytes(): number {
    let bytes = 0
    for (const socket of this.#owed.keys())
      bytes += socket.bytesWritten - socket.writableLength
    return bytes
  }

  add(socket: Socket): void {
    this.#owed.set(socket, new Set())
    this.#unused.add(socket)
    socket.once(
      'close',
      bindOwner(() => {
        this.#owed.delete(socket)
        this.#unused.delete(socket)
      }),
    )
  }

  /**
   * Records a request; its answer is owed until it is written or the connection closes.
   * Returns false if an earlier answer ends the connection or this side has already ended it,
   * so that this one could never be sent: the request must not run.
   */
  begin({ socket }: IncomingMessage, res: ServerResponse): boolean {
    this.#unused.delete(socket)
    const answers = this.#owed.get(socket)
    if (!answers || !socket.writable) return false
    if (this.#ending.has(socket)) return false
    if ([...answers].some(({ shouldKeepAlive }) => !shouldKeepAlive)) return false
    answers.add(res)
    res.once(
      'close',
      bindOwner(() => {
        answers.delete(res)
        if (answers.size === 0 && this.#ending.has(socket)) socket.end()
      }),
    )
    return true
  }

  /**
   * Reads nothing more from a connection and closes it once what is owed on it is written.
   * Returns false if nothing is owed.
   */
  endOnceAnswered(socket: Socket): boolean {
    if ((this.#owed.get(socket)?.size ?? 0) === 0) return false
    this.#ending.add(socket)
    socket.pause()
    return true
  }

  /** Whether no later request on the connection waits for its answer. */
  isLast({ socket }: IncomingMessage, res: ServerResponse): boolean {
    const answers = this.#owed.get(socket)
    return !answers || [...answers].at(-1) === res
  }

  /**
   * Closes the connections on which nothing is owed. One that was never used stays: its
   * caller has opened it for a request that may be on its way.
   */
  closeUnowed(): void {
    for (const [socket, answers] of this.#owed) {
      // An error may have swallowed the event of a close.
      for (const res of answers) if (res.closed) answers.delete(res)
      if (socket.destroyed) this.#owed.delete(socket)
      else if (answers.size === 0 && !this.#unused.has(socket)) socket.destroy()
    }
  }

  /** Closes all connections. */
  closeAll(): void {
    for (const socket of this.#owed.keys()) socket.destroy()
  }
}
