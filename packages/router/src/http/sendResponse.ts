/** Sends JSON responses and refusals to callers. */
import type { ServerResponse } from 'node:http'
import { REFUSAL_STATUS, discardBody, type Refusal } from '@wagtailway/core'
import { RESPONSE_HEADERS } from '../constants.js'

const MS_PER_SECOND = 1_000

/** Statuses after which the same request may succeed. */
const TEMPORARY_STATUSES = new Set([408, 429, 502, 503, 504])

/** Retry delay of a temporary refusal that names none, in milliseconds. */
const DEFAULT_RETRY_MS = 1_000

/** Time for which the rest of a refused request is read, in milliseconds. */
const MAX_DISCARD_MS = 10_000

/** Size from which it isn't read any further, in bytes. */
const MAX_DISCARDED_BYTES = 8_388_608

/** Sends a JSON body. */
export function sendJson(res: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body)
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  })
  res.end(text)
}

/** Sends a refusal, or destroys the connection if the response has begun. */
export function sendRefusal(res: ServerResponse, refusal: Refusal): void {
  if (res.headersSent) {
    // A regular end would make a partial response look complete.
    res.destroy()
    return
  }
  for (const [name, value] of Object.entries(refusalHeaders(refusal))) {
    res.setHeader(name, value)
  }
  sendJson(res, REFUSAL_STATUS[refusal.reason], refusalBody(refusal))
  // So that the connection can be reused; Node would read a body without end, too.
  if (!res.req.readableEnded)
    discardBody(res.req, { maxBytes: MAX_DISCARDED_BYTES, timeoutMs: MAX_DISCARD_MS })
}

/** Headers of a refusal: whether the request ran, and after which delay to retry. */
export function refusalHeaders(refusal: Refusal): Record<string, string> {
  const retryAfterMs = retryAfterOf(refusal)
  if (retryAfterMs === undefined) return { [RESPONSE_HEADERS.ran]: refusal.ran }
  const seconds = Math.max(1, Math.ceil(retryAfterMs / MS_PER_SECOND))
  return { [RESPONSE_HEADERS.ran]: refusal.ran, 'retry-after': String(seconds) }
}

export function refusalBody(refusal: Refusal): { error: Record<string, unknown> } {
  const { reason, ran, message } = refusal
  const retryAfterMs = retryAfterOf(refusal)
  return {
    error: {
      type: reason,
      ran,
      message,
      ...(retryAfterMs !== undefined && { retry_after_ms: retryAfterMs }),
    },
  }
}

function retryAfterOf({ reason, retryAfterMs }: Refusal): number | undefined {
  if (retryAfterMs !== undefined) return retryAfterMs
  return TEMPORARY_STATUSES.has(REFUSAL_STATUS[reason]) ? DEFAULT_RETRY_MS : undefined
}
