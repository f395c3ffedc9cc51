/** Stops the runtime's HTTP parser within the data that it has been given. */
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'

/** Value for which the parser reads no further, as behind a request for an upgrade. */
const READ_NO_FURTHER = 2

type OnIncoming = (req: IncomingMessage, shouldKeepAlive: boolean) => number

interface ParsedSocket {
  readonly parser?: { onIncoming?: OnIncoming | null } | null
}

/**
 * Makes the parser of a new connection drop what it has been given once a function returns
 * `true`: a piece of data can hold thousands of requests, and the runtime creates 2 KB of
 * objects for each of them, which stay until all answers before are written. The runtime has no
 * documented way to do so; if it changes, requests come as before and the caller drops them.
 *
 * @example
 * server.on('connection', (socket) => stopParsing(socket, () => socket.destroyed))
 */
export function stopParsing(socket: Socket, isOver: () => boolean): void {
  const { parser } = socket as ParsedSocket
  const onIncoming = parser?.onIncoming
  if (!parser || typeof onIncoming !== 'function') return
  parser.onIncoming = function (req, shouldKeepAlive) {
    return isOver() ? READ_NO_FURTHER : onIncoming.call(this, req, shouldKeepAlive)
  }
}
