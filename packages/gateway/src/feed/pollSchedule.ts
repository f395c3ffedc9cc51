/**
 * Decides which entry instances poll the store, and when.
 *
 * Calls to the store are expensive and limited, so their number must not grow with the
 * fleet. In a small fleet all instances watch the store. In a large one the first instance
 * of each availability zone watches it, and the others get updates from there. An instance
 * whose state has not been confirmed for a while polls the store itself. During an outage
 * no instance gets a confirmation; then only the watching instances keep polling often.
 */

/** Largest fleet, in entry instances, in which every instance watches the store. */
export const SMALL_FLEET_SIZE = 10

/**
 * Longest wait of a watch in a small fleet, in milliseconds; short enough to detect an
 * unresponsive connection within 3 seconds.
 */
const SMALL_FLEET_WATCH_MS = 2_000

/**
 * Longest wait of a watch in a large fleet, as a share of `maxPropagationMs`. A watch that
 * completes confirms the state, with or without changes.
 */
const WATCH_RATIO = 0.33

/**
 * Time without a confirmation after which an instance polls the store itself, as a share
 * of `maxPropagationMs`. The rest is left for the poll.
 */
const STALE_RATIO = 0.75

/**
 * Additional delay of that poll for each rank in the zone, in milliseconds, so that the
 * instances of a zone don't all poll at the same time.
 */
const RANK_DELAY_MS = 25

/** Upper limit of the additional delay by rank, in milliseconds. */
const MAX_RANK_DELAY_MS = 200

/** Duration of the discovery of other instances after the start, in milliseconds. */
export const DISCOVERY_MS = 4_500

/**
 * Time for which an instance that knows of a change tries to pull it before it polls the
 * store itself, as a share of `maxPropagationMs`.
 */
const PULL_RATIO = 0.5

/**
 * Polls that fail in a row before an instance that doesn't watch takes the store for
 * unavailable. A single failure may be that of one connection.
 */
const MAX_QUICK_FAILURES = 3

/**
 * Poll interval of an instance that doesn't watch, during an outage of the store, in
 * milliseconds.
 */
const OUTAGE_POLL_INTERVAL_MS = 4_000

export interface PollInputs {
  /** Time within which a change in the store must be applied, in milliseconds. */
  readonly maxPropagationMs: number
  /** Whether this instance has just started and may not know all other instances yet. */
  readonly isDiscovering: boolean
  /** Number of live entry instances, including this one. */
  readonly instanceCount: number
  /** Rank among the live instances of the own zone, starting at zero. */
  readonly zoneRank: number
  /** Whether a complete list has been received. */
  readonly hasList: boolean
  /** Time since the list was last confirmed to be current, in milliseconds. */
  readonly ageMs: number
  /**
   * Time for which this instance has been pulling a change from others without an update,
   * in milliseconds; `undefined` if it isn't pulling.
   */
  readonly pullingForMs: number | undefined
  /** Polls that failed in a row. */
  readonly failures: number
  /** Time since the start of the last poll, in milliseconds. */
  readonly sinceLastPollMs: number
}

/**
 * Why the store is polled: the instance watches it, has no list yet, its state has not
 * been confirmed for too long, or no other instance sends it a change that it has heard
 * of.
 */
export type PollReason = 'watch' | 'first' | 'stale' | 'pull_failed'

export interface Poll {
  readonly reason: PollReason
  /** How long the store may wait for changes before it responds, in milliseconds. */
  readonly waitMs: number
}

/**
 * Decides whether to poll the store now; `undefined` if no poll is due.
 *
 * @example
 * planPoll(inputs) // { reason: 'watch', waitMs: 1000 }
 */
export function planPoll(inputs: PollInputs): Poll | undefined {
  const { instanceCount, zoneRank } = inputs
  if (!inputs.hasList) return { reason: 'first', waitMs: 0 }
  if (!inputs.isDiscovering && instanceCount <= SMALL_FLEET_SIZE) {
    return { reason: 'watch', waitMs: SMALL_FLEET_WATCH_MS }
  }
  const waitMs = Math.round(inputs.maxPropagationMs * WATCH_RATIO)
  if (!inputs.isDiscovering && zoneRank === 0) return { reason: 'watch', waitMs }
  const rankDelayMs = Math.min(MAX_RANK_DELAY_MS, zoneRank * RANK_DELAY_MS)
  const isDue =
    inputs.pullingForMs === undefined
      ? inputs.ageMs >= inputs.maxPropagationMs * STALE_RATIO + rankDelayMs
      : inputs.pullingForMs >= inputs.maxPropagationMs * PULL_RATIO + rankDelayMs
  if (!isDue) return undefined
  // During an outage of the store, the state of every instance becomes stale.
  const isOutage = inputs.failures >= MAX_QUICK_FAILURES
  if (isOutage && inputs.sinceLastPollMs < OUTAGE_POLL_INTERVAL_MS) return undefined
  // Without a wait, an unresponsive connection is detected while there is time for another.
  return {
    reason: inputs.pullingForMs === undefined ? 'stale' : 'pull_failed',
    waitMs: 0,
  }
}
