/** Opens and checks direct connections to backend servers. */
import { request } from 'node:http'
import { connect, type Socket } from 'node:net'
import type { BackendServer } from '../model/backendServer.js'
import { isConnectionRefused } from '../forward/probeConnection.js'
import type { DirectResult, PendingConnection } from './dial.js'
import type { PathFailure } from './pathTable.js'

/** Time for which a connection must stay open to count as established, in milliseconds. */
const HOLD_MS = 30

/** Opens a direct connection. */
export function connectDirectly({
  host,
  port,
}: Pick<BackendServer, 'host' | 'port'>): PendingConnection<DirectResult<Socket>> {
  const socket = connect({ host, port })
  const result = new Promise<DirectResult<Socket>>((resolve) => {
    const fail = (failure: PathFailure): void => {
      socket.destroy()
      resolve({ type: 'failed', failure })
    }
    socket.once('connect', () => {
      resolve({ type: 'connected', connection: socket })
    })
    socket.on('error', (err) => {
      fail(failureOf(err))
    })
    socket.once('close', () => {
      resolve({ type: 'failed', failure: 'no_response' })
    })
  })
  return { result, cancel: () => socket.destroy() }
}

/**
 * Opens a direct connection that counts only if it stays open for a moment: something on the
 * way may accept connections and reset them.
 */
export function connectSteadily(
  server: BackendServer,
): PendingConnection<DirectResult<Socket>> {
  const pending = connectDirectly(server)
  return { result: pending.result.then(holdOpen), cancel: pending.cancel }
}

function holdOpen(result: DirectResult<Socket>): Promise<DirectResult<Socket>> {
  if (result.type === 'failed') return Promise.resolve(result)
  const { connection } = result
  return new Promise((resolve) => {
    const timer = setTimeout(() => {
      connection.off('close', onClose)
      resolve(result)
    }, HOLD_MS)
    const onClose = (): void => {
      clearTimeout(timer)
      resolve({ type: 'failed', failure: 'reset' })
    }
    connection.once('close', onClose)
    connection.once('end', () => connection.destroy())
  })
}

/**
 * Asks for the health of a server on a connection; resolves to whether any response came, and
 * closes the connection.
 */
export function bringsResponse(
  connection: Socket,
  path: string,
  timeoutMs: number,
): Promise<boolean> {
  return new Promise((resolve) => {
    const req = request({ path, createConnection: () => connection })
    const finish = (hasResponse: boolean): void => {
      clearTimeout(timer)
      connection.destroy()
      resolve(hasResponse)
    }
    const timer = setTimeout(() => {
      finish(false)
    }, timeoutMs)
    req.once('response', (res) => {
      res.destroy()
      finish(true)
    })
    req.on('error', () => {
      finish(false)
    })
    req.end()
  })
}

function failureOf(err: Error): PathFailure {
  if (isConnectionRefused(err)) return 'refused'
  return 'code' in err && err.code === 'ECONNRESET' ? 'reset' : 'no_response'
}
