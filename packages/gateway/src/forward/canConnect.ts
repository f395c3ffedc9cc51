/** Whether a server takes connections: tells a dead one from one that has much to do. */
import { connect } from 'node:net'

/** Longest time for a connection of a living server, in milliseconds. */
const TIMEOUT_MS = 400

/**
 * Opens a connection and closes it at once.
 *
 * @example
 * if (!(await canConnect('10.0.0.7', 8080))) sendElsewhere()
 */
export function canConnect(host: string, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({ host, port })
    const finish = (isThere: boolean): void => {
      socket.destroy()
      resolve(isThere)
    }
    socket.setTimeout(TIMEOUT_MS, () => {
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
