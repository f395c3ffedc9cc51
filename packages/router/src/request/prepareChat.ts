/** Checks a caller's chat request and prepares the bodies sent to backend servers. */
import { Err, Ok, notRun, type Refusal, type Result } from '@wagtailway/core'
import { chatRequestSchema, type ChatRequest } from '../backend/chatMessages.js'

/** Deepest nesting of objects and arrays accepted in a body, in levels. */
const MAX_DEPTH = 64

/** A checked chat completion request. */
export interface PreparedChat {
  readonly model: string
  readonly stream: boolean
  /** Whether the caller asked for a chunk with the token usage. */
  readonly wantsUsage: boolean
  /** Returns the body for a backend server, which names the version as the model. */
  readonly bodyFor: (versionKey: string) => string
}

/**
 * Checks and prepares a request body; the refusal names every schema violation.
 *
 * @example
 * const chat = prepareChat(Buffer.from('{"model":"check","messages":[{"role":"user"}]}'))
 */
export function prepareChat(body: Buffer): Result<PreparedChat, Refusal> {
  const value = parseJson(body)
  if (value === undefined) return Err(notRun('bad_request', 'The body is not JSON.'))
  if (depthExceeds(value, MAX_DEPTH)) {
    const message = `The body is nested more than ${MAX_DEPTH} levels deep.`
    return Err(notRun('bad_request', message))
  }
  const parsed = chatRequestSchema.safeParse(value)
  if (parsed.success) return Ok(prepare(parsed.data))
  const problems = parsed.error.issues.map((i) => `${i.path.join('.')}: ${i.message}`)
  const message = `Not a chat completion request: ${problems.join('; ')}.`
  return Err(notRun('bad_request', message))
}

function prepare(chat: ChatRequest): PreparedChat {
  const { model, stream = false, stream_options: streamOptions } = chat
  // Billing needs the token usage even if the caller didn't ask for it.
  const forwarded = stream
    ? { ...chat, stream_options: { ...streamOptions, include_usage: true } }
    : chat
  return {
    model,
    stream,
    wantsUsage: streamOptions?.include_usage === true,
    bodyFor: (versionKey) => JSON.stringify({ ...forwarded, model: versionKey }),
  }
}

/** Whether a JSON value is nested deeper than `levels`. */
function depthExceeds(value: unknown, levels: number): boolean {
  if (typeof value !== 'object' || value === null) return false
  if (levels === 0) return true
  return Object.values(value).some((item) => depthExceeds(item, levels - 1))
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString())
  } catch {
    return undefined
  }
}
