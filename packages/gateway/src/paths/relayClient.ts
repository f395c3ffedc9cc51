/** Asks another entry instance for a connection to a backend server. */
import { randomBytes } from 'node:crypto'
import { request, type ClientRequest } from 'node:http'
import type { Socket } from 'node:net'
import { incarnationOf, type BackendServer } from '../model/backendServer.js'
import type { PeerAddress } from '../peers/peerTable.js'
import type { PendingConnection, RelayFailure, RelayResult } from './dial.js'

/** Request header that names the incarnation of the backend server. */
export const SERVER_HEADER = 'x-relay-server'

/** Response header that says why there is no connection. */
export const FAILURE_HEADER = 'x-relay-failure'

/**
 * Request header with a mark that the relay sends after the server's last byte once the
 * server has closed the connection normally. Without it, the end of a relay that was killed
 * looks like the server's. Earlier builds ignore it.
 */
export const END_MARK_HEADER = 'x-relay-end-mark'

/** Size of a mark, in bytes; its text has twice as many. */
const END_MARK_BYTES = 16

const endMarkBySocket = new WeakMap<Socket, string>()

/** Mark that ends what the server sent on a relayed connection; `undefined` for a direct one. */
export function endMarkOf(socket: Socket): string | undefined {
  return endMarkBySocket.get(socket)
}

/**
 * Opens a connection through a relay. The bytes that follow are the server's.
 *
 * @example
 * const pending = connectThrough(relay.address, server)
 * const result = await pending.result
 */
export function connectThrough(
  { host, port }: PeerAddress,
  server: BackendServer,
): PendingConnection<RelayResult<Socket>> {
  const endMark = randomBytes(END_MARK_BYTES).toString('hex')
  let req: ClientRequest
  try {
    req = request({
      host,
      port,
      method: 'CONNECT',
      path: `${server.host}:${server.port}`,
      headers: { [SERVER_HEADER]: incarnationOf(server), [END_MARK_HEADER]: endMark },
      agent: false,
    })
  } catch {
    // Names and addresses come from a list that others write; some can be no header.
    const result = { type: 'failed', failure: 'unavailable' } as const
    return { result: Promise.resolve(result), cancel: () => undefined }
  }
  const result = new Promise<RelayResult<Socket>>((resolve) => {
    const fail = (failure: RelayFailure): void => {
      resolve({ type: 'failed', failure })
    }
    req.on('connect', ({ statusCode, headers }, socket: Socket, head: Buffer) => {
      // Node has removed its own, and has none between two requests or after a whole answer.
      socket.on('error', () => undefined)
      if (statusCode === 200) {
        if (head.length > 0) socket.unshift(head)
        socket.setNoDelay(true)
        endMarkBySocket.set(socket, endMark)
        resolve({ type: 'connected', connection: socket })
        return
      }
      socket.destroy()
      fail(parseFailure(headers[FAILURE_HEADER]))
    })
    // An earlier build closes the connection or answers with a normal response.
    req.on('response', (res) => {
      res.destroy()
      fail('unavailable')
    })
    req.on('error', () => {
      fail('unavailable')
    })
    req.on('close', () => {
      fail('unavailable')
    })
  })
  req.end()
  return {
    result,
    cancel: () => {
      req.destroy()
    },
  }
}

function parseFailure(value: string | string[] | undefined): RelayFailure {
  return value === 'refused' || value === 'no_response' ? value : 'unavailable'
}
