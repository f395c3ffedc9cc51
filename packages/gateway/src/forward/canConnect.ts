/** Connection probe that distinguishes an unreachable server from a busy one. */
import { connect } from 'node:net'

/** Time after which a server counts as unreachable, in milliseconds. */
const CONNECT_TIMEOUT_MS = 400

/**
 * Whether a server accepts connections; opens one and closes it at once.
 *
 * @example
 * if (!(await canConnect('10.0.0.7', 8080))) tryAnotherServer()
 */
export function canConnect(host: string, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({ host, port })
    const finish = (isReachable: boolean): void => {
      socket.destroy()
      resolve(isReachable)
    }
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => {
      finish(false)
    })
    socket.once('connect', () => {
      finish(true)
    })
    socket.once('error', () => {
      finish(false)
    })
  })
}
