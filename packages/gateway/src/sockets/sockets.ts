/** Binds the listening sockets of one instance and handles their errors. */
import type { Socket as UdpSocket } from 'node:dgram'
import { once } from 'node:events'
import { Server as NetServer } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import {
  bindWithRetry,
  isTemporaryBindError,
  monotonicClock,
  runOwned,
  type BindResult,
  type Clock,
  type ErrorOwner,
} from '@wagtailway/core'
import { reportFailure } from '../observe/failures.js'
import type { Log } from '../observe/log.js'
import type { GatewayMetrics } from '../observe/metrics.js'

/** Connections that may wait to be accepted. */
export const LISTEN_BACKLOG = 1_024

/** Longest pause between two attempts while the start of the instance waits, in milliseconds. */
const MAX_PAUSE_MS = 200

/** Longest pause between two attempts for a socket that may come late, in milliseconds. */
const MAX_LATE_PAUSE_MS = 5_000

/** Least interval between two log lines on the same socket, in milliseconds. */
const LOG_INTERVAL_MS = 30_000

/** Prefix of the codes of Node.js for arguments that no attempt can use. */
const INVALID_ARGUMENT_PREFIX = 'ERR_'

export type SocketName =
  'callers' | 'readiness' | 'feeds' | 'reports' | 'relays' | 'metrics'

export interface ListenAddress {
  readonly host: string
  readonly port: number
}

export type ListeningSocket = NetServer | UdpSocket

/** Makes a socket listen. */
export type Listen = (socket: ListeningSocket) => Promise<void>

export interface SocketsOptions {
  /** Name of the setting that has the address of each socket. */
  readonly settingOf: Readonly<Record<SocketName, string>>
  /** Time for which the start waits for sockets, for all of them together, in milliseconds. */
  readonly maxWaitMs: number
  readonly log: Log
  readonly metrics: Pick<GatewayMetrics, 'socketErrors' | 'waitingSockets' | 'failures'>
  /** @default monotonicClock */
  readonly clock?: Clock
}

interface SocketPlan {
  readonly name: SocketName
  readonly address: ListenAddress
  readonly mayRetry: (code: string) => boolean
  readonly deadlineMs: number
  readonly maxPauseMs: number
  readonly onFirstFailure: () => void
}

/**
 * The listening sockets of one instance. One that is taken is tried again, and an error of
 * one that listens is logged and counted.
 *
 * @example
 * const sockets = Sockets.create({ settingOf, maxWaitMs: 10_000, log, metrics })
 * await sockets.required('callers', { host: '127.0.0.1', port: 8080 })(server)
 * sockets.stopWaiting()
 */
export class Sockets {
  readonly #clock: Clock
  readonly #deadlineMs: number
  readonly #stop = new AbortController()

  private constructor(private readonly opts: SocketsOptions) {
    this.#clock = opts.clock ?? monotonicClock
    this.#deadlineMs = this.#clock() + opts.maxWaitMs
  }

  static create(opts: SocketsOptions): Sockets {
    return new Sockets(opts)
  }

  /**
   * For a socket that the instance can't do without. Resolves once it listens, or without
   * a socket once `stopWaiting` is called; rejects with an `Error` that names the socket,
   * its address and its setting.
   */
  required(name: SocketName, address: ListenAddress): Listen {
    return async (socket) => {
      const result = await this.#bind(socket, {
        name,
        address,
        mayRetry: isTemporaryBindError,
        deadlineMs: this.#deadlineMs,
        maxPauseMs: MAX_PAUSE_MS,
        onFirstFailure: () => undefined,
      })
      this.#throwIfFailed(name, address, result)
    }
  }

  /**
   * For a socket that may come late. Resolves after the first attempt; further ones follow
   * until it listens or `stopWaiting` is called. Rejects only if the address is invalid.
   */
  late(name: SocketName, address: ListenAddress): Listen {
    return (socket) =>
      new Promise<void>((resolve, reject) => {
        this.#bind(socket, {
          name,
          address,
          mayRetry: (code) => !code.startsWith(INVALID_ARGUMENT_PREFIX),
          deadlineMs: Number.POSITIVE_INFINITY,
          maxPauseMs: MAX_LATE_PAUSE_MS,
          onFirstFailure: resolve,
        })
          .then((result) => {
            this.#throwIfFailed(name, address, result)
            resolve()
          })
          .catch(reject)
      })
  }

  /** Makes no further attempts; sockets that listen already stay. */
  stopWaiting(): void {
    this.#stop.abort()
  }

  async #bind(socket: ListeningSocket, plan: SocketPlan): Promise<BindResult> {
    const { log, metrics } = this.opts
    const { name } = plan
    const { signal } = this.#stop
    const about = this.#describe(name, plan.address)
    // Also that of each connection until it has one of its own.
    const owner: ErrorOwner = {
      work: `socket for ${name}`,
      end: (err) => {
        reportFailure(this.opts, 'loop_failed', owner, err)
      },
    }
    let loggedAtMs: number | undefined
    const result = await bindWithRetry({
      ...plan,
      clock: this.#clock,
      sleep: (ms) => delay(ms, undefined, { signal }).catch(() => undefined),
      bind: () => runOwned(owner, () => bindOnce(socket, plan.address)),
      onFailedAttempt: (code, waitedMs) => {
        const nowMs = this.#clock()
        if (loggedAtMs === undefined) {
          metrics.waitingSockets.set({ socket: name }, 1)
          plan.onFirstFailure()
        } else if (nowMs < loggedAtMs + LOG_INTERVAL_MS) return
        loggedAtMs = nowMs
        log('socket_waiting', { ...about, code, waitedMs })
      },
      isStopped: () => signal.aborted,
    })
    if (loggedAtMs !== undefined) {
      metrics.waitingSockets.set({ socket: name }, 0)
      const { type, waitedMs } = result
      if (type === 'bound') log('socket_bound', { ...about, waitedMs })
    }
    this.#watchErrors(name, socket)
    return result
  }

  #watchErrors(name: SocketName, socket: ListeningSocket): void {
    const { log, metrics } = this.opts
    let loggedAtMs = Number.NEGATIVE_INFINITY
    let unlogged = 0
    const onError = (err: NodeJS.ErrnoException): void => {
      const { code = 'unknown' } = err
      metrics.socketErrors.inc({ socket: name, code })
      const nowMs = this.#clock()
      if (nowMs < loggedAtMs + LOG_INTERVAL_MS) {
        unlogged += 1
        return
      }
      log('socket_error', { socket: name, code, err: err.message, unlogged })
      loggedAtMs = nowMs
      unlogged = 0
    }
    // The declarations of the two kinds of sockets have no common signature.
    if (socket instanceof NetServer) socket.on('error', onError)
    else socket.on('error', onError)
  }

  #throwIfFailed(name: SocketName, address: ListenAddress, result: BindResult): void {
    if (result.type !== 'failed') return
    const { address: text, setting } = this.#describe(name, address)
    const { code, waitedMs } = result
    throw new Error(
      `the socket for ${name} at ${text} (setting ${setting}) can't be bound: ${code}, tried for ${waitedMs} ms`,
    )
  }

  #describe(name: SocketName, { host, port }: ListenAddress) {
    const setting = this.opts.settingOf[name]
    return { socket: name, address: `${host}:${port}`, setting }
  }
}

/**
 * Listens at an address without another attempt.
 *
 * @example
 * const server = await PlainServer.create(listenAt({ host, port: 0 }), respond, onError)
 */
export function listenAt(address: ListenAddress): Listen {
  return (socket) => bindOnce(socket, address)
}

async function bindOnce(
  socket: ListeningSocket,
  { host, port }: ListenAddress,
): Promise<void> {
  if (socket instanceof NetServer) socket.listen({ host, port, backlog: LISTEN_BACKLOG })
  else socket.bind(port, host)
  // Rejects on `error`.
  await once(socket, 'listening')
}
