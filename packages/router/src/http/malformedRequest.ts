/** Refuses malformed and slow requests by writing directly to the socket. */
import type { ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import { REFUSAL_STATUS, notRun, type Refusal } from '@wagtailway/core'
import { refusalBody, refusalHeaders } from './sendResponse.js'

/** Largest total size of a request's headers, in bytes. */
export const MAX_HEADER_BYTES = 16_384

/** Delay before a caller should retry a request that arrived too slowly, in milliseconds. */
const TIMEOUT_RETRY_MS = 1_000

/** Returns the refusal for a `clientError` of Node's HTTP server. */
export function malformedRefusal(err: NodeJS.ErrnoException): Refusal {
  switch (err.code) {
    case 'HPE_HEADER_OVERFLOW': {
      const message = `Send at most ${MAX_HEADER_BYTES} bytes of headers.`
      return notRun('headers_too_large', message)
    }
    case 'ERR_HTTP_REQUEST_TIMEOUT': {
      const message = 'The request took too long to arrive.'
      return notRun('request_timeout', message, TIMEOUT_RETRY_MS)
    }
    default:
      return notRun('bad_request', 'This is not an HTTP/1.1 request.')
  }
}

/**
 * Sends a refusal on a socket and closes it. If a response may be in progress on the
 * connection, destroys the socket instead: the refusal would look like part of the response.
 */
export function refuseOnSocket(
  socket: Duplex,
  lastResponse: ServerResponse | undefined,
  refusal: Refusal,
): void {
  const isBetweenRequests =
    !lastResponse || (lastResponse.writableFinished && lastResponse.req.complete)
  const isAwaitingRequest =
    lastResponse && !lastResponse.headersSent && !lastResponse.req.complete
  if (!socket.writable || !(isBetweenRequests || isAwaitingRequest)) {
    socket.destroy()
    return
  }
  const body = JSON.stringify(refusalBody(refusal))
  const headers = {
    ...refusalHeaders(refusal),
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    connection: 'close',
  }
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`)
  const statusLine = `HTTP/1.1 ${REFUSAL_STATUS[refusal.reason]} Refused\r\n`
  socket.end(`${statusLine}${lines.join('')}\r\n${body}`)
}
