/** Callers of the soak that take up a gateway's memory or its descriptors. */
import { connect, type Socket } from 'node:net'
import { callerHeaders } from '@wagtailway/standins'
import type { SoakGateway } from './soakGateway.js'

/** Longest body that the configuration allows, in bytes. */
export const MAX_BODY_BYTES = 4_194_304

/** Prefix of the paths with large responses. */
export const LARGE_PATH = '/plain/large-'

/** Size of a large response, in bytes. */
export const LARGE_RESPONSE_BYTES = 8_388_608

/** Pieces in which a body is sent. */
const PIECE_COUNT = 32

/** Idle connections that are opened at once. */
const IDLE_BATCH = 25

function open({ opts: { host, ports } }: SoakGateway): Socket {
  const socket = connect(ports.callers, host)
  socket.on('error', () => undefined)
  return socket
}

function head(method: string, path: string, id: string, bytes: number): string {
  const headers = {
    host: 'app.example',
    ...callerHeaders({ requestId: id, waitMs: 10_000 }),
    ...(bytes > 0 && { 'content-length': String(bytes) }),
  }
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`)
  return `${method} ${path}${id} HTTP/1.1\r\n${lines.join('')}\r\n`
}

/**
 * Sends a request whose body takes `sendMs` milliseconds; returns the connection, whose
 * response is read and discarded.
 *
 * @example
 * const socket = sendSlowBody(gateway, 'b-1', 4_194_304, 1_500)
 */
export function sendSlowBody(
  gateway: SoakGateway,
  id: string,
  bytes: number,
  sendMs: number,
): Socket {
  const socket = open(gateway)
  socket.resume()
  socket.write(head('POST', '/plain/', id, bytes))
  const pieceBytes = Math.ceil(bytes / PIECE_COUNT)
  let sentBytes = 0
  const timer = setInterval(() => {
    const size = Math.min(pieceBytes, bytes - sentBytes)
    if (size === 0 || socket.destroyed) clearInterval(timer)
    else socket.write(Buffer.alloc(size, 'x'))
    sentBytes += size
  }, sendMs / PIECE_COUNT)
  return socket
}

/**
 * Requests a large response and reads nothing of it; returns the connection.
 *
 * @example
 * openUnread(gateway, 'u-1').destroy()
 */
export function openUnread(gateway: SoakGateway, id: string): Socket {
  const socket = open(gateway)
  socket.write(head('GET', LARGE_PATH, id, 0))
  return socket
}

/**
 * Opens idle connections, some at once; returns them.
 *
 * @example
 * for (const socket of await openIdle(gateway, 200)) socket.destroy()
 */
export async function openIdle(gateway: SoakGateway, count: number): Promise<Socket[]> {
  const sockets: Socket[] = []
  while (sockets.length < count) {
    for (let i = 0; i < IDLE_BATCH; i += 1) sockets.push(open(gateway))
    await new Promise((resolve) => setTimeout(resolve, 50))
  }
  return sockets
}
