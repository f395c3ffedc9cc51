/** Connection probe that distinguishes an unreachable server from a busy one. */
import { connect } from 'node:net'

/** Time after which a server counts as unreachable, in milliseconds. */
const CONNECT_TIMEOUT_MS = 400

/**
 * How a server responds to a new connection: `refused` means that nothing listens on its
 * port, `no_response` that it can't be reached or is overloaded.
 */
export type ConnectionResult = 'accepted' | 'refused' | 'no_response'

/**
 * Opens a connection and closes it at once.
 *
 * @example
 * if ((await probeConnection('10.0.0.7', 8080)) === 'refused') tryAnotherServer()
 */
export function probeConnection(host: string, port: number): Promise<ConnectionResult> {
  return new Promise((resolve) => {
    const socket = connect({ host, port })
    const finish = (result: ConnectionResult): void => {
      socket.destroy()
      resolve(result)
    }
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => {
      finish('no_response')
    })
    socket.once('connect', () => {
      finish('accepted')
    })
    socket.once('error', (err) => {
      finish(isConnectionRefused(err) ? 'refused' : 'no_response')
    })
  })
}

/** Whether a connection failed because nothing listens on the port. */
export function isConnectionRefused(err: Error): boolean {
  return 'code' in err && err.code === 'ECONNREFUSED'
}
