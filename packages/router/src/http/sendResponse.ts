/** Writes answers and refusals to callers. */
import type { ServerResponse } from 'node:http'
import { REFUSAL_STATUS, type Refusal } from '@wagtailway/core'
import { RESPONSE_HEADERS } from '../constants.js'

const MS_PER_SECOND = 1_000

/** Statuses after which the same request may succeed. */
const TEMPORARY_STATUSES = new Set([408, 429, 502, 503, 504])

/** When to come back after a temporary refusal that names no time, in milliseconds. */
const DEFAULT_RETRY_MS = 1_000

/** Sends a JSON body. What is left of the request's body is read and dropped. */
export function sendJson(res: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body)
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
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
  for (const [name, value] of Object.entries(refusalHeaders(refusal))) {
    res.setHeader(name, value)
  }
  sendJson(res, REFUSAL_STATUS[refusal.reason], refusalBody(refusal))
}

/** Headers of a refusal: whether it ran, and when to come back. */
export function refusalHeaders(refusal: Refusal): Record<string, string> {
  const retryAfterMs = retryAfterOf(refusal)
  if (retryAfterMs === undefined) return { [RESPONSE_HEADERS.ran]: refusal.ran }
  const seconds = Math.max(1, Math.ceil(retryAfterMs / MS_PER_SECOND))
  return { [RESPONSE_HEADERS.ran]: refusal.ran, 'retry-after': String(seconds) }
}

/** Body of a refusal. */
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
