/** Binds the listening sockets of one router and handles their errors. */
import { once } from 'node:events'
import type { Server } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import { bindWithRetry, monotonicClock } from '@wagtailway/core'
import type { Log } from '../log.js'
import type { RouterMetrics } from '../metrics.js'

/** Time for which the start waits for one socket, in milliseconds. */
const MAX_WAIT_MS = 10_000

/** Longest pause between two attempts, in milliseconds. */
const MAX_PAUSE_MS = 200

/** Least interval between two log lines on the errors of a socket, in milliseconds. */
const LOG_INTERVAL_MS = 30_000

/** Makes a server listen. */
export type Listen = (server: Server) => Promise<void>

export interface ListenOptions {
  readonly socket: 'callers' | 'peers'
  readonly host: string
  readonly port: number
  /** Name of the setting that has the port. */
  readonly setting: string
  readonly log: Log
  readonly metrics: Pick<RouterMetrics, 'socketErrors'>
  /** @default 10_000 */
  readonly maxWaitMs?: number
}

/**
 * Listens, and tries again while the address is taken; then errors of the server are logged
 * and counted.
 *
 * @returns A function that rejects with an `Error` that names the socket, its address and
 *   its setting, if the address stays taken.
 *
 * @example
 * const listen = listenWithRetry({ socket: 'callers', host, port, setting, log, metrics })
 * await listen(server)
 */
export function listenWithRetry(opts: ListenOptions): Listen {
  const { socket, host, port, setting, log, maxWaitMs = MAX_WAIT_MS } = opts
  const address = `${host}:${port}`
  return async (server) => {
    let isWaiting = false
    const result = await bindWithRetry({
      clock: monotonicClock,
      sleep: delay,
      bind: () => listenOnce(server, { host, port }),
      deadlineMs: monotonicClock() + maxWaitMs,
      maxPauseMs: MAX_PAUSE_MS,
      onFailedAttempt: (code) => {
        if (!isWaiting)
          log.warn('waiting for a socket', { socket, address, setting, code })
        isWaiting = true
      },
      isStopped: () => false,
    })
    const { waitedMs } = result
    if (result.type === 'failed')
      throw new Error(
        `the socket for ${socket} at ${address} (setting ${setting}) can't be bound: ${result.code}, tried for ${waitedMs} ms`,
      )
    if (isWaiting) log.info('socket bound', { socket, address, setting, waitedMs })
    watchErrors(server, opts)
  }
}

/** Listens without another attempt. */
export async function listenOnce(
  server: Server,
  address: { readonly host: string; readonly port: number },
): Promise<void> {
  server.listen(address)
  // Rejects on `error`.
  await once(server, 'listening')
}

function watchErrors(server: Server, { socket, log, metrics }: ListenOptions): void {
  let loggedAtMs = Number.NEGATIVE_INFINITY
  let unlogged = 0
  server.on('error', (err: NodeJS.ErrnoException) => {
    const { code = 'unknown', message } = err
    metrics.socketErrors.inc({ socket, code })
    const nowMs = monotonicClock()
    if (nowMs < loggedAtMs + LOG_INTERVAL_MS) {
      unlogged += 1
      return
    }
    log.error('a listening socket failed', { socket, code, message, unlogged })
    loggedAtMs = nowMs
    unlogged = 0
  })
}
