/** Request headers of callers, in the form of the users' platform. */

export interface CallerHeaderOptions {
  readonly key?: string
  readonly requestId: string
  readonly isStream?: boolean
  /** Time that the caller waits for the response, in milliseconds. */
  readonly waitMs?: number
}

/**
 * Returns the headers of one request.
 *
 * @example
 * callerHeaders({ key: 'key-1', requestId: 'r-1', isStream: true })
 */
export function callerHeaders(opts: CallerHeaderOptions): Record<string, string> {
  const { key = 'key-1', requestId, isStream = false, waitMs } = opts
  return {
    'x-credential': key,
    'x-request-id': requestId,
    ...(waitMs !== undefined && { 'x-deadline-remaining': String(waitMs) }),
    ...(isStream && { accept: 'text/event-stream', 'x-model': '*' }),
  }
}
