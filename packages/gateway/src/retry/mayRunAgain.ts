/** Decides whether the rules of its route allow one more server to run a request. */
import type { Route } from '../model/config.js'

/** Why a further server would get a request. */
export const FURTHER_RUN_REASONS = [
  // Nothing was sent, or the server says that it has not run the request.
  'connect_failed',
  'connect_timeout',
  'server_refused',
  // The connection or the answer broke.
  'connection_lost',
  'cancelled',
  'wrong_answer',
  'unsendable',
  'broken_answer',
  'broken',
  'endless',
  'gap',
  // Nothing comes.
  'silent',
  // There is an answer, and another one may be better.
  'server_error',
  'larger_model',
] as const

export type FurtherRunReason = (typeof FURTHER_RUN_REASONS)[number]

/** Reasons for which a request never gets a further server. */
const FINAL_REASONS: ReadonlySet<FurtherRunReason> = new Set([
  // Another server could not be sent the request either.
  'unsendable',
  // The caller may have seen an event that another run doesn't continue.
  'gap',
])

/** Reasons that need an answer of which the caller has received nothing. */
const UNSENT_ANSWER_REASONS: ReadonlySet<FurtherRunReason> = new Set(['larger_model'])

export interface RunHistory {
  readonly route: Pick<Route, 'kind' | 'isResumable' | 'maxAttempts'>
  /** Servers that have run the request or may have, with the one that may run it now. */
  readonly runCount: number
  /** Whether the caller has received a part of the answer. */
  readonly hasBegun: boolean
  /** Time until the deadline, in milliseconds. */
  readonly timeToDeadlineMs: number
}

/**
 * Whether one more server may run a request. All further runs are runs, whatever their
 * reason: a request that must not be repeated gets none once a server may have run it.
 *
 * @example
 * mayRunAgain('silent', { route, runCount: 1, hasBegun: false, timeToDeadlineMs: 900 })
 */
export function mayRunAgain(
  reason: FurtherRunReason,
  { route, runCount, hasBegun, timeToDeadlineMs }: RunHistory,
): boolean {
  if (FINAL_REASONS.has(reason) || timeToDeadlineMs <= 0) return false
  if (hasBegun && UNSENT_ANSWER_REASONS.has(reason)) return false
  if (runCount === 0) return true
  return isRepeatable(route) && runCount < route.maxAttempts
}

/**
 * Whether requests of a route may run more than once.
 *
 * @example
 * isRepeatable({ kind: 'stream', isResumable: false }) // false
 */
export function isRepeatable({
  kind,
  isResumable,
}: Pick<Route, 'kind' | 'isResumable'>): boolean {
  switch (kind) {
    case 'idempotent':
      return true
    case 'stream':
      return isResumable
    case 'once':
      return false
  }
}
