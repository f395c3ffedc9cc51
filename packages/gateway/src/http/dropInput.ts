/** Goes on reading a connection whose input is of no use any more. */
import type { Socket } from 'node:net'

/** Time between two reads, in milliseconds: a client that floods is read slowly. */
const READ_INTERVAL_MS = 50

/**
 * Drops what still comes on a connection of an HTTP server, a piece at a time. A connection
 * that isn't read doesn't tell that its client has closed it.
 *
 * @example
 * dropInput(socket)
 * ClientPresence.of(socket).onLeave(() => attempt.cancel())
 */
export function dropInput(socket: Socket): void {
  // Takes the input from the HTTP parser, which may be in the middle of it. The socket isn't
  // paused before: only the parser would start to read it again.
  process.nextTick(() => {
    socket.removeAllListeners('data')
    let timer: NodeJS.Timeout | undefined
    socket.on('data', () => {
      socket.pause()
      timer = setTimeout(() => socket.resume(), READ_INTERVAL_MS)
    })
    socket.once('close', () => {
      clearTimeout(timer)
    })
    socket.resume()
  })
}
