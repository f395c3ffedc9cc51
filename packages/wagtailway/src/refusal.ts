/** Typed refusals: why a request failed, whether it ran, and when to retry it. */

/** Whether a refused request ran at a backend server. */
export type RunState = 'not_run' | 'unknown' | 'ran'

/** HTTP status of each refusal reason; the reasons are also labels of the refusal counter. */
export const REFUSAL_STATUS = {
  bad_request: 400,
  unauthenticated: 401,
  class_unknown: 404,
  model_not_allowed: 403,
  service_not_allowed: 403,
  no_route: 404,
  method_not_allowed: 405,
  request_timeout: 408,
  session_version_withdrawn: 409,
  duplicate_request: 409,
  body_too_large: 413,
  headers_too_large: 431,
  over_share: 429,
  overloaded: 503,
  no_backend: 503,
  no_version: 503,
  config_missing: 503,
  config_stale: 503,
  claim_unavailable: 503,
  ledger_full: 503,
  draining: 503,
  backend_failed: 502,
  backend_invalid: 502,
  backend_truncated: 502,
  deadline_exceeded: 504,
  internal: 500,
} as const

export type RefusalReason = keyof typeof REFUSAL_STATUS

/** The final response to a request that can't be served. */
export interface Refusal {
  readonly reason: RefusalReason
  readonly ran: RunState
  readonly message: string
  /** Delay after which a retry may succeed, in milliseconds; absent if a retry can't help. */
  readonly retryAfterMs?: number
}

/**
 * Creates a refusal of a request that never reached a backend server.
 *
 * @example
 * notRun('overloaded', 'All replicas are busy; retry later.', 500)
 */
export function notRun(
  reason: RefusalReason,
  message: string,
  retryAfterMs?: number,
): Refusal {
  return refuse(reason, 'not_run', message, retryAfterMs)
}

/**
 * Creates a refusal with an explicit run state.
 *
 * @example
 * refuse('backend_failed', 'unknown', 'The backend server closed the connection.')
 */
export function refuse(
  reason: RefusalReason,
  ran: RunState,
  message: string,
  retryAfterMs?: number,
): Refusal {
  const base = { reason, ran, message }
  return retryAfterMs === undefined ? base : { ...base, retryAfterMs }
}
