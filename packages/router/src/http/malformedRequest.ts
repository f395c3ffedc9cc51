/** What is no HTTP request, or arrives too slowly: refused on the bare socket. */
import type { ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import { REFUSAL_STATUS, notRun, type Refusal } from '@wagtailway/core'
import { refusalBody, refusalHeaders } from './sendResponse.js'

/** Longest headers of a request, in bytes. */
export const MAX_HEADER_BYTES = 16_384

/** When a caller whose request arrived too slowly should try again, in milliseconds. */
const TIMEOUT_RETRY_MS = 1_000

/** The refusal for an error of Node's HTTP parser. */
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
 * Sends a refusal on a socket and closes it. If an answer may already be under way
 * there, the connection is only broken off: more bytes would look like part of it.
 */
export function refuseOnSocket(
  socket: Duplex,
  answer: ServerResponse | undefined,
  refusal: Refusal,
): void {
  const isBetween = !answer || (answer.writableFinished && answer.req.complete)
  const isAwaited = answer && !answer.headersSent && !answer.req.complete
  if (!socket.writable || !(isBetween || isAwaited)) {
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
  const start = `HTTP/1.1 ${REFUSAL_STATUS[refusal.reason]} Refused\r\n`
  socket.end(`${start}${lines.join('')}\r\n${body}`)
}
