/** Evidence recorded at callers and backend servers; all checks are functions of it. */
import type { BillingRecord, EffectiveConfig } from '@wagtailway/core'

/** One request as its caller sent it, and how it ended for the caller. */
export interface SentRequest {
  /** Identifies the request for its caller; copies and retries share the id. */
  readonly id: string
  readonly classKey: string
  /** Router that the request was sent to. */
  readonly router: string
  /** Digest of the prompt or path; identifies the runs of this request. */
  readonly digest: string
  readonly session?: string | undefined
  readonly nonIdempotent: boolean
  /** Milliseconds since the epoch. */
  readonly sentAtMs: number
  readonly endedAtMs: number
  readonly end: RequestEnd
  /** HTTP status; zero if there was no response. */
  readonly status: number
  readonly requestId: string
  readonly versionKey: string
  /** Reason of a typed refusal; otherwise empty. */
  readonly reason: string
  /** Run state that the refusal reports, such as `not_run`; otherwise empty. */
  readonly ran: string
  readonly retryAfterMs?: number | undefined
}

/**
 * How a request ended for its caller:
 *
 * - `whole`: the complete response to this request
 * - `wrong`: a response that looks complete but is not the right one
 * - `refused`: a refusal, which must be typed
 * - `failed`: an error response of a plain service
 * - `broken`: the connection broke before the response was complete
 * - `unreached`: no connection could be opened
 * - `left`: the caller closed the connection
 * - `hung`: no response within the caller's time limit
 */
export type RequestEnd =
  'whole' | 'wrong' | 'refused' | 'failed' | 'broken' | 'unreached' | 'left' | 'hung'

/** One run at a backend server. */
export interface StartedRun {
  readonly backend: string
  /** What ran: `model@version`, or the service's name. */
  readonly versionKey: string
  readonly isService: boolean
  readonly requestId: string
  readonly digest: string
  readonly atMs: number
  readonly finished: boolean
}

/** A configuration that the platform accepted. */
export interface AcceptedConfig {
  readonly revision: number
  readonly atMs: number
  readonly effective: EffectiveConfig
}

/** Readiness and configuration revision that one router reported at one time. */
export interface RouterSample {
  readonly router: string
  readonly atMs: number
  readonly revision: number
  readonly isReady: boolean
}

/** An event of one part of the deployment, such as a router or a backend server. */
export interface PartEvent {
  readonly part: string
  readonly atMs: number
}

/** One operator's change and whether the platform accepted it. */
export interface AppliedChange {
  readonly owner: string
  readonly document: unknown
  readonly accepted: boolean
}

export interface Evidence {
  readonly sent: readonly SentRequest[]
  readonly runs: readonly StartedRun[]
  readonly billed: readonly BillingRecord[]
  readonly configs: readonly AcceptedConfig[]
  readonly samples: readonly RouterSample[]
  /** Backend servers listed as leaving or removed from the list. */
  readonly leavings: readonly PartEvent[]
  /** Routers that got SIGTERM. */
  readonly stops: readonly PartEvent[]
  /** Routers that exited after SIGTERM. */
  readonly exits: readonly PartEvent[]
  readonly changes: readonly AppliedChange[]
}

/** Result of a check. */
export interface CheckResult {
  /** Number of items checked; a result with zero items proves nothing. */
  readonly checked: number
  readonly violations: readonly string[]
}

/** Evidence of a run without any events; tests override single fields. */
export const NO_EVIDENCE: Evidence = {
  sent: [],
  runs: [],
  billed: [],
  configs: [],
  samples: [],
  leavings: [],
  stops: [],
  exits: [],
  changes: [],
}

/** Groups items by a key. */
export function groupBy<T>(
  items: readonly T[],
  keyOf: (item: T) => string,
): ReadonlyMap<string, readonly T[]> {
  const groups = new Map<string, T[]>()
  for (const item of items) {
    const key = keyOf(item)
    const group = groups.get(key) ?? []
    group.push(item)
    groups.set(key, group)
  }
  return groups
}
