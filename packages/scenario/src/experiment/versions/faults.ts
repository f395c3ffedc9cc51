/** Faults of versions and ratings during a trial. */
import type { Qualities, Workload } from '../workloads.js'

const HOUR_MS = 3_600_000

export interface VersionFault {
  /** True qualities at a time of the trial. */
  readonly qualitiesAt: (workload: Workload, atMs: number) => Qualities
  /** Whether ratings of responses sent at this time are lost. */
  readonly isRatingLostAt: (atMs: number) => boolean
  /** Mean delay of a rating, in milliseconds. */
  readonly delayMs: number
  /** Whether a rating is only 0 or 1, with the quality as the probability of 1. */
  readonly isCoarse: boolean
}

export const NO_FAULT: VersionFault = {
  qualitiesAt: ({ qualities }) => qualities,
  isRatingLostAt: () => false,
  delayMs: 20_000,
  isCoarse: false,
}

/** Quality of a cheapest version that doesn't meet the target. */
const INSUFFICIENT_QUALITY = 0.64

/** Quality of the cheapest version at the end of its drift. */
const DRIFTED_QUALITY = 0.45

/** Step of a drift in milliseconds; steps allow the true averages to be cached. */
const DRIFT_STEP_MS = 600_000

export const VERSION_FAULTS: Readonly<Record<string, VersionFault>> = {
  none: NO_FAULT,
  'cheap too bad': {
    ...NO_FAULT,
    qualitiesAt: (workload) => withCheapest(workload, () => INSUFFICIENT_QUALITY),
  },
  drift: { ...NO_FAULT, qualitiesAt: driftingQualities },
  'ratings lost': {
    ...NO_FAULT,
    isRatingLostAt: (atMs) => atMs > 2 * HOUR_MS && atMs < 6 * HOUR_MS,
  },
  'late and coarse': { ...NO_FAULT, delayMs: 600_000, isCoarse: true },
}

/** The quality of the cheapest version falls from hour 5 to hour 7, in equal steps. */
function driftingQualities(workload: Workload, atMs: number): Qualities {
  const stepStartMs = Math.floor(atMs / DRIFT_STEP_MS) * DRIFT_STEP_MS
  const progress = Math.min(1, Math.max(0, (stepStartMs - 5 * HOUR_MS) / (2 * HOUR_MS)))
  return withCheapest(
    workload,
    (quality) => quality + progress * (DRIFTED_QUALITY - quality),
  )
}

/**
 * Changed qualities by workload and the cheapest version's quality. Equal ones are the
 * same object, because true averages are cached by object.
 */
const changedQualities = new WeakMap<Workload, Map<number, Qualities>>()

function withCheapest(
  workload: Workload,
  change: (quality: number) => number,
): Qualities {
  const key = cheapestKey(workload)
  const quality = change(workload.qualities[key] ?? 0)
  const knownQualities = changedQualities.get(workload) ?? new Map<number, Qualities>()
  changedQualities.set(workload, knownQualities)
  const qualities = knownQualities.get(quality) ?? {
    ...workload.qualities,
    [key]: quality,
  }
  knownQualities.set(quality, qualities)
  return qualities
}

const cheapestKeys = new WeakMap<Workload, string>()

function cheapestKey(workload: Workload): string {
  const knownKey = cheapestKeys.get(workload)
  if (knownKey !== undefined) return knownKey
  const candidates = workload.classes[0]?.candidates ?? []
  const cheapestCandidate = candidates.toSorted(
    (a, b) => a.completionPrice - b.completionPrice,
  )[0]
  const key = cheapestCandidate?.key ?? ''
  cheapestKeys.set(workload, key)
  return key
}
