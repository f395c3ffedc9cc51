/** Connections of callers, and the answers that each of them still owes. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import {
  ClientPresence,
  bindOwner,
  type Clock,
  type ConnectionEnd,
} from '@wagtailway/core'
import { ConnectionRoom } from '../memory/connectionRoom.js'
import { dropInput } from './dropInput.js'
import { keepReading } from './keepReading.js'

/**
 * Requests of one connection that are sent on at a time. Answers go out in the order of the
 * requests, so that later ones gain little by being handled early.
 */
const MAX_HANDLED = 4

/**
 * Requests that are owed an answer on one connection, from which no more are taken: with
 * those that came in one piece of data before, the rest is dropped and the connection ends.
 */
const MAX_OWED = 32

/**
 * Time for which a connection that this side has ended stays open, in milliseconds: closing it
 * while the caller still sends would reset it, and the caller may miss its answers.
 */
const LINGER_MS = 1_000

/** What becomes of a request that has come. */
export type Turn =
  /** It may be sent on once `turn` resolves to `true`; `false` if its caller has left. */
  | { readonly type: 'owed'; readonly turn: true | Promise<boolean> }
  /** It must not run, as its answer could never be sent, or too many came before it. */
  | { readonly type: 'dropped'; readonly reason: 'connection_ends' | 'pipelined' }

/** An answer that is owed, and what lets its request be sent on if it has to wait. */
interface Owed {
  begin?: ((isOpen: boolean) => void) | undefined
}

export interface CallerConnectionsOptions {
  readonly clock: Clock
  /** Number of connections at which one without a whole request ends for a new one. */
  readonly maxCount: number
  /** Called before a connection ends for a new one, or a new one for which there is no room. */
  readonly onEnd: (socket: Socket, unusedMs: number) => void
  /** Called when a client leaves a connection, with the answers that it doesn't get. */
  readonly onLeave: (
    socket: Socket,
    by: ConnectionEnd,
    unanswered: readonly ServerResponse[],
  ) => void
}

/**
 * Knows of each open connection which answers are not yet written, also those that were
 * handed to it completely: a slow caller may read them for seconds.
 *
 * @example
 * const connections = CallerConnections.create({ clock, maxCount: 2_400, onEnd, onLeave })
 * server.on('connection', (socket) => connections.add(socket))
 * const begun = connections.begin(req, res)
 * if (begun.type === 'owed' && (await begun.turn)) answer(req, res)
 * connections.closeUnowed()
 */
export class CallerConnections {
  /** Answers owed on each open connection, in the order of their requests. */
  readonly #owed = new Map<Socket, Map<ServerResponse, Owed>>()
  /** Connections on which no request has come yet. */
  readonly #unused = new Set<Socket>()
  /** Connections that close once what is owed on them is written. */
  readonly #ending = new WeakSet<Socket>()

  readonly #room: ConnectionRoom<Socket>

  private constructor(private readonly opts: CallerConnectionsOptions) {
    this.#room = ConnectionRoom.create({
      clock: opts.clock,
      maxCount: opts.maxCount,
      mayEnd: (socket) => this.#mayEnd(socket),
      end: (socket, unusedMs) => {
        opts.onEnd(socket, unusedMs)
        socket.destroy()
      },
    })
  }

  static create(opts: CallerConnectionsOptions): CallerConnections {
    return new CallerConnections(opts)
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

  /** Adds a connection, if need be in place of one without a request; closes it if it can't. */
  add(socket: Socket): void {
    if (!this.#room.tryAdd(socket)) {
      this.opts.onEnd(socket, 0)
      socket.destroy()
      return
    }
    const answers = new Map<ServerResponse, Owed>()
    this.#owed.set(socket, answers)
    this.#unused.add(socket)
    const presence = ClientPresence.of(socket)
    presence.onLeave(() => {
      const unanswered = [...answers.keys()].filter((res) => !res.writableEnded)
      if (!presence.leftBy || unanswered.length === 0) return
      this.opts.onLeave(socket, presence.leftBy, unanswered)
      for (const { begin } of answers.values()) begin?.(false)
      // What is written may never be read.
      if (!socket.destroyed) end(socket)
    })
    socket.once(
      'close',
      bindOwner(() => {
        this.#owed.delete(socket)
        this.#unused.delete(socket)
        this.#room.remove(socket)
        // The runtime closes only the response that it is writing, the oldest.
        for (const res of answers.keys()) if (!res.socket) res.emit('close')
      }),
    )
  }

  /**
   * Records a request; its answer is owed until it is written or the connection closes. It is
   * dropped if an earlier answer ends the connection, or this side has already ended it.
   */
  begin({ socket }: IncomingMessage, res: ServerResponse): Turn {
    this.#unused.delete(socket)
    const answers = this.#owed.get(socket)
    if (!answers || !socket.writable || this.#ending.has(socket)) return CONNECTION_ENDS
    if ([...answers.keys()].some(({ shouldKeepAlive }) => !shouldKeepAlive))
      return CONNECTION_ENDS
    if (answers.size >= MAX_OWED) {
      this.endOnceAnswered(socket)
      return { type: 'dropped', reason: 'pipelined' }
    }
    keepReading(socket)
    const owed: Owed = {}
    answers.set(res, owed)
    res.once(
      'close',
      bindOwner(() => {
        answers.delete(res)
        this.#room.recordUse(socket)
        if (answers.size === 0 && this.#ending.has(socket)) end(socket)
        beginNext(answers)
      }),
    )
    if (answers.size <= MAX_HANDLED) return { type: 'owed', turn: true }
    const turn = new Promise<boolean>((resolve) => {
      owed.begin = resolve
    })
    return { type: 'owed', turn }
  }

  /**
   * Takes no more requests from a connection and closes it once what is owed on it is written.
   * Returns false if nothing is owed.
   */
  endOnceAnswered(socket: Socket): boolean {
    if ((this.#owed.get(socket)?.size ?? 0) === 0) return false
    if (!this.#ending.has(socket)) dropInput(socket)
    this.#ending.add(socket)
    return true
  }

  /** Whether the connection closes once what is owed on it is written. */
  isEnding(socket: Socket): boolean {
    return this.#ending.has(socket)
  }

  /**
   * Whether nothing of a connection has been passed on. A request isn't until its body is whole.
   */
  #mayEnd(socket: Socket): boolean {
    const answers = this.#owed.get(socket)
    return !answers || [...answers.keys()].every(({ req }) => !req.complete)
  }

  /** Whether no later request on the connection waits for its answer. */
  isLast({ socket }: IncomingMessage, res: ServerResponse): boolean {
    const answers = this.#owed.get(socket)
    return !answers || [...answers.keys()].at(-1) === res
  }

  /**
   * Closes the connections on which nothing is owed. One that was never used stays: its
   * caller has opened it for a request that may be on its way.
   */
  closeUnowed(): void {
    for (const [socket, answers] of this.#owed) {
      // An error may have swallowed the event of a close.
      for (const res of answers.keys()) if (res.closed) answers.delete(res)
      beginNext(answers)
      if (socket.destroyed) this.#owed.delete(socket)
      else if (answers.size === 0 && !this.#unused.has(socket)) socket.destroy()
    }
  }

  /** Closes all connections. */
  closeAll(): void {
    for (const socket of this.#owed.keys()) socket.destroy()
  }
}

const CONNECTION_ENDS: Turn = { type: 'dropped', reason: 'connection_ends' }

/** Ends a connection; what the caller still sends is dropped. */
function end(socket: Socket): void {
  if (socket.destroyed) return
  socket.end()
  socket.resume()
  const timer = setTimeout(() => socket.destroy(), LINGER_MS)
  socket.once('close', () => {
    clearTimeout(timer)
  })
}

/** Lets requests that wait be sent on, in their order. */
function beginNext(answers: ReadonlyMap<ServerResponse, Owed>): void {
  let handledCount = 0
  for (const owed of answers.values()) {
    handledCount += 1
    if (handledCount > MAX_HANDLED) return
    owed.begin?.(true)
    owed.begin = undefined
  }
}
