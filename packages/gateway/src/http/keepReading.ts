/** Keeps the runtime from pausing connections of an HTTP server. */
import type { Socket } from 'node:net'

interface PausableSocket {
  _paused?: boolean
}

/**
 * Resumes a connection that the runtime has paused for the request that has just come, as
 * answers before it wait in its buffers. What waits is bounded by the shares of memory and the
 * number of answers owed; a connection that isn't read doesn't tell that its client has closed
 * it. The runtime has no documented way to do so; if it changes, an end is noticed later.
 *
 * @example
 * server.on('request', (req) => keepReading(req.socket))
 */
export function keepReading(socket: Socket): void {
  const pausable = socket as PausableSocket
  if (pausable._paused !== true) return
  pausable._paused = false
  socket.resume()
}
