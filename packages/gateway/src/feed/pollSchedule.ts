/**
 * Which entry instances ask the store, and when.
 *
 * Answers the pattern in which calls to the store are dear and limited while the fleet
 * grows: in a small fleet all instances watch; in a large one the first of each
 * availability zone does, and the others hear from it. Whoever hears no proof for a
 * while looks for itself. In an outage, of which all hear alike, only the watchers keep
 * asking often.
 */

/** Fleets up to this size watch with all instances. */
export const SMALL_FLEET = 10

/** Longest wait of a watch in a small fleet, in milliseconds; so that a silent connection is found within three. */
const SMALL_FLEET_WAIT_MS = 2_000

/**
 * Longest wait of a watch in a large fleet, as part of the bound on following a change:
 * its end proves the state.
 */
const WAIT_PART = 0.33

/**
 * Age of the proof from which an instance looks for itself, as part of that bound. The
 * look itself takes the rest.
 */
const STALE_PART = 0.75

/** Time by which instances with a later place in the zone wait longer, in milliseconds. */
const STALE_STEP_MS = 25

/** Most that the place in the zone adds, in milliseconds. */
const STALE_SPREAD_MS = 200

/** Time after its start in which an instance hears of the others, in milliseconds. */
export const MEETING_MS = 4_500

/** Pause between the looks of one that doesn't watch while the store is away, in milliseconds. */
const OUTAGE_PAUSE_MS = 4_000

export interface LookInputs {
  /** Time within which a change must be followed, in milliseconds. */
  readonly boundMs: number
  /** Whether this instance has just started and may not have heard of the others yet. */
  readonly isMeeting: boolean
  /** Living entry instances, this one included. */
  readonly instanceCount: number
  /** Place among the living instances of the own zone, zero for the first. */
  readonly zoneRank: number
  /** Whether a whole list is known. */
  readonly isKnown: boolean
  /** Age of the proof that the list is current, in milliseconds. */
  readonly ageMs: number
  /** Failed looks since the last proof. */
  readonly failures: number
  /** Time since the last look, in milliseconds. */
  readonly sinceLookMs: number
}

/**
 * Whether to ask the store now, and how long it may wait for changes; `undefined` if
 * there is no need.
 *
 * @example
 * planLook(inputs) // { waitMs: 1000 }
 */
export function planLook(inputs: LookInputs): { readonly waitMs: number } | undefined {
  const { instanceCount, zoneRank } = inputs
  if (!inputs.isKnown) return { waitMs: 0 }
  if (!inputs.isMeeting && instanceCount <= SMALL_FLEET) {
    return { waitMs: SMALL_FLEET_WAIT_MS }
  }
  const waitMs = Math.round(inputs.boundMs * WAIT_PART)
  if (!inputs.isMeeting && zoneRank === 0) return { waitMs }
  const staleMs =
    inputs.boundMs * STALE_PART + Math.min(STALE_SPREAD_MS, zoneRank * STALE_STEP_MS)
  if (inputs.ageMs < staleMs) return undefined
  // While the store is away, all hear of nothing newer alike.
  if (inputs.failures > 0 && inputs.sinceLookMs < OUTAGE_PAUSE_MS) return undefined
  return { waitMs }
}
