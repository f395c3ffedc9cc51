/** Callers that send something on one connection and leave without waiting for an answer. */
import { connect, type Socket } from 'node:net'
import { callerHeaders } from '@wagtailway/standins'

/** How a caller closes its connection. */
export type LeaveForm =
  /** Closes it; a system resets it instead if it holds bytes that were not read. */
  | 'close'
  | 'reset'
  /** Ends its sending side and still reads. */
  | 'end'

export const LEAVE_FORMS: readonly LeaveForm[] = ['close', 'reset', 'end']

/** Time that callers say they would wait, in milliseconds. */
const WAIT_MS = 8_000

/**
 * Returns the head of a request.
 *
 * @param path Prefix of the path; the id follows it.
 * @param bodyBytes Size of the body, which is not part of the text.
 *
 * @example
 * socket.write(requestHead('/plain/', 'r-1') + requestHead('/plain/', 'r-2'))
 */
export function requestHead(path: string, requestId: string, bodyBytes = 0): string {
  const isStream = path === '/notes/'
  const headers = Object.entries(callerHeaders({ requestId, isStream, waitMs: WAIT_MS }))
  return [
    `POST ${path}${requestId} HTTP/1.1`,
    'Host: app.example',
    ...headers.map(([name, value]) => `${name}: ${value}`),
    `Content-Length: ${bodyBytes}`,
    '\r\n',
  ].join('\r\n')
}

/**
 * Opens a connection whose answers are read only once it is resumed.
 *
 * @example
 * leave(await openCaller(gateway.port), 'reset')
 */
export async function openCaller(port: number, host = '127.0.0.1'): Promise<Socket> {
  const socket = connect({ port, host, allowHalfOpen: true })
  socket.on('error', () => undefined)
  await new Promise((resolve) => socket.once('connect', resolve).once('close', resolve))
  return socket
}

/** Leaves at once: what was written before and the end are with the system on return. */
export function leave(socket: Socket, form: LeaveForm): void {
  if (form === 'close') socket.destroy()
  else if (form === 'reset' && !socket.destroyed) socket.resetAndDestroy()
  else socket.end()
}
