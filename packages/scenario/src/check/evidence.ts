/** What a run left behind at both ends; all checks are functions of it. */
import type { BillingRecord, EffectiveConfig } from '@wagtailway/core'

/** One request as its caller sent it and saw it end. */
export interface SentRequest {
  /** Names the caller's wish; copies and repeats share it. */
  readonly id: string
  readonly classKey: string
  /** Router that got it. */
  readonly router: string
  /** Digest of the prompt or path, by which its runs are found. */
  readonly digest: string
  readonly session?: string | undefined
  readonly nonIdempotent: boolean
  /** Milliseconds since the epoch. */
  readonly sentAtMs: number
  readonly endedAtMs: number
  readonly end: RequestEnd
  /** HTTP status; zero if there was none. */
  readonly status: number
  readonly requestId: string
  readonly versionKey: string
  /** Reason of a typed refusal; empty if there is none. */
  readonly reason: string
  /** Run state that the refusal tells; empty if there is none. */
  readonly ran: string
  readonly retryAfterMs?: number | undefined
}

/**
 * How a request ended for its caller:
 *
 * - `whole`: the whole answer to its own prompt
 * - `wrong`: an answer that looks complete but is not that
 * - `refused`: a refusal, which must be typed
 * - `failed`: the error that a plain service gave as its answer
 * - `broken`: the connection broke after it was sent
 * - `unreached`: no connection was made
 * - `left`: the caller went away itself
 * - `hung`: no end within the caller's patience
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

/** A configuration as it was accepted. */
export interface AcceptedConfig {
  readonly revision: number
  readonly atMs: number
  readonly effective: EffectiveConfig
}

/** What one router said of itself at one moment. */
export interface RouterSample {
  readonly router: string
  readonly atMs: number
  readonly revision: number
  readonly isReady: boolean
}

/** Something that happened to one part at one moment. */
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
  /** Backend servers listed as leaving or taken off the list. */
  readonly leavings: readonly PartEvent[]
  /** Routers that got SIGTERM. */
  readonly stops: readonly PartEvent[]
  /** Routers that ended after SIGTERM. */
  readonly exits: readonly PartEvent[]
  readonly changes: readonly AppliedChange[]
}

/** What a check found. */
export interface CheckResult {
  /** How many things were looked at; zero proves nothing. */
  readonly checked: number
  readonly violations: readonly string[]
}

/** Evidence of a run in which nothing happened, for tests to build on. */
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
