/** Parts of the log line that is written for each request. */
import type { Acceptance } from '../cascade/cascade.js'
import type { RefusalReason } from './caller.js'

/** One attempt, as it is logged. */
export interface AttemptLogEntry {
  readonly server: string
  readonly version: string
  readonly model?: string | undefined
  /** Time from the request's arrival to the start of the attempt, in milliseconds. */
  readonly sentAtMs: number
  /** Expected time to first byte, in milliseconds. */
  readonly expectedMs: number
  /** Requests a second that the server takes, if it names a limit. */
  readonly limitPerS?: number
  /** Time since a response named that limit, in milliseconds. */
  readonly limitAgeMs?: number
  /** Entry instance through which it was sent, if not on the direct path. */
  via?: string
  /** Time since the direct path to the server was lost, in milliseconds. */
  pathLostForMs?: number | undefined
  result: string
  /** What was seen of an attempt that got no usable response. */
  detail?: string
  /** Time from the start of the attempt to its result, in milliseconds. */
  tookMs: number
  /** Whether there was no memory to buffer its response. */
  isUnbuffered?: boolean
  confidence?: number | undefined
  /** Number of events that the server sent. */
  events?: number
  /** Time from the first event to the last one, in milliseconds. */
  eventsMs?: number
  /** Why the response was accepted, or that the next model was tried. */
  judged?: Acceptance
  /** Mean interval between events, in milliseconds. */
  pauseMs?: number | undefined
  /**
   * 10th percentile of the intervals between events, in milliseconds: those during which
   * the server prefilled no other prompt.
   */
  quickPauseMs?: number | undefined
}

/** How a request ended. */
export interface RequestOutcome {
  readonly outcome: 'answered' | 'refused' | 'failed' | 'caller_left' | 'broken_off'
  readonly status: number
  readonly reason?: RefusalReason | string
  /** The quarantined prompt part for which the request was refused. */
  readonly part?: string
}
