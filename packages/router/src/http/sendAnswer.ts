/** Writes answers and refusals to callers. */
import type { ServerResponse } from 'node:http'
import { REFUSAL_STATUS, type Refusal } from '@wagtailway/core'
import { ANSWER_HEADERS } from '../constants.js'

const MS_PER_SECOND = 1_000

/** Sends a JSON body; closes the connection if the request body was not read to its end. */
export function sendJson(res: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body)
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...(res.req.complete ? {} : { connection: 'close' }),
  })
  res.end(text)
}

/** Sends a refusal, or breaks off an answer that has begun. */
export function sendRefusal(res: ServerResponse, refusal: Refusal): void {
  if (res.headersSent) {
    // A clean end would make a partial answer look whole.
    res.destroy()
    return
  }
  res.setHeader(ANSWER_HEADERS.ran, refusal.ran)
  if (refusal.retryAfterMs !== undefined) {
    res.setHeader(
      'retry-after',
      Math.max(1, Math.ceil(refusal.retryAfterMs / MS_PER_SECOND)),
    )
  }
  sendJson(res, REFUSAL_STATUS[refusal.reason], { error: refusalBody(refusal) })
}

function refusalBody(refusal: Refusal): Record<string, unknown> {
  return {
    type: refusal.reason,
    ran: refusal.ran,
    message: refusal.message,
    ...(refusal.retryAfterMs !== undefined && { retry_after_ms: refusal.retryAfterMs }),
  }
}
