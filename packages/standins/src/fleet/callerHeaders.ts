/** Request headers of callers, in the form of the users' platform. */

export interface CallerHeaderOptions {
  readonly key?: string
  readonly requestId: string
  readonly isStream?: boolean
  /** Time that the caller waits for the response, in milliseconds. */
  readonly waitMs?: number
  /** Ids of the parts of the prompt, in its order; the last one is the request's own. */
  readonly promptParts?: readonly string[]
}

/** Size of each part of a prompt, in tokens. */
const TOKENS_PER_PART = 100

/**
 * Returns the headers of one request.
 *
 * @example
 * callerHeaders({ key: 'key-1', requestId: 'r-1', isStream: true })
 */
export function callerHeaders(opts: CallerHeaderOptions): Record<string, string> {
  const { key = 'key-1', requestId, isStream = false, waitMs, promptParts } = opts
  return {
    'x-credential': key,
    'x-request-id': requestId,
    ...(waitMs !== undefined && { 'x-deadline-remaining': String(waitMs) }),
    ...(promptParts && {
      'x-prompt-prefix': promptParts.map((id) => `${id}:${TOKENS_PER_PART}`).join(),
      'x-token-usage': `${promptParts.length * TOKENS_PER_PART},40`,
    }),
    ...(isStream && { accept: 'text/event-stream', 'x-model': '*' }),
  }
}
