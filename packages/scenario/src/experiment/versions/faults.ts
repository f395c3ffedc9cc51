/** What goes wrong with versions and ratings during a trial. */
import type { Qualities, Workload } from '../workloads.js'

const HOUR_MS = 3_600_000

export interface VersionFault {
  /** True qualities at a time of the trial. */
  readonly qualitiesAt: (workload: Workload, atMs: number) => Qualities
  /** Whether an answer given at this time is never rated. */
  readonly isLostAt: (atMs: number) => boolean
  /** Mean delay of a rating, in milliseconds. */
  readonly delayMs: number
  /** Whether a rating is only good or bad, drawn with the quality as its chance. */
  readonly isCoarse: boolean
}

export const NO_FAULT: VersionFault = {
  qualitiesAt: ({ qualities }) => qualities,
  isLostAt: () => false,
  delayMs: 20_000,
  isCoarse: false,
}

/** Quality of cheap versions that don't suffice. */
const TOO_BAD = 0.64

/** Quality of a cheap version at the end of its drift. */
const DRIFTED = 0.45

/** Granularity of a drift, so that truths can be kept, in milliseconds. */
const DRIFT_STEP_MS = 600_000

export const VERSION_FAULTS: Readonly<Record<string, VersionFault>> = {
  none: NO_FAULT,
  'cheap too bad': {
    ...NO_FAULT,
    qualitiesAt: (workload) => withCheapest(workload, () => TOO_BAD),
  },
  drift: { ...NO_FAULT, qualitiesAt: drifting },
  'ratings lost': {
    ...NO_FAULT,
    isLostAt: (atMs) => atMs > 2 * HOUR_MS && atMs < 6 * HOUR_MS,
  },
  'late and coarse': { ...NO_FAULT, delayMs: 600_000, isCoarse: true },
}

/** The cheapest version falls steadily between the fifth and the seventh hour. */
function drifting(workload: Workload, atMs: number): Qualities {
  const stepped = Math.floor(atMs / DRIFT_STEP_MS) * DRIFT_STEP_MS
  const progress = Math.min(1, Math.max(0, (stepped - 5 * HOUR_MS) / (2 * HOUR_MS)))
  return withCheapest(workload, (quality) => quality + progress * (DRIFTED - quality))
}

/** Changed qualities by workload and quality, so that equal ones are the same object. */
const changed = new WeakMap<Workload, Map<number, Qualities>>()

function withCheapest(
  workload: Workload,
  change: (quality: number) => number,
): Qualities {
  const key = cheapestKey(workload)
  const quality = change(workload.qualities[key] ?? 0)
  const known = changed.get(workload) ?? new Map<number, Qualities>()
  changed.set(workload, known)
  const qualities = known.get(quality) ?? { ...workload.qualities, [key]: quality }
  known.set(quality, qualities)
  return qualities
}

const cheapestKeys = new WeakMap<Workload, string>()

function cheapestKey(workload: Workload): string {
  const known = cheapestKeys.get(workload)
  if (known !== undefined) return known
  const candidates = workload.classes[0]?.candidates ?? []
  const found = candidates.toSorted((a, b) => a.completionPrice - b.completionPrice)[0]
  const key = found?.key ?? ''
  cheapestKeys.set(workload, key)
  return key
}
