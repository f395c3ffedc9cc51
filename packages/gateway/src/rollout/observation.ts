/** What entry instances observe of a version's responses during a rollout. */

/** How a response ended, or in which class of durations its speed is. */
export type Outcome = 'ok' | 'failed' | DurationClass

/** Index of a class of durations; see `durationClass`. */
export type DurationClass = number

/** Class of the longest durations that are told apart. */
export const MAX_DURATION_CLASS = 64

/** A number of equal observations. */
export interface Observation {
  /**
   * What may be compared: observations of the same route, or for the speeds of streams of
   * the same model.
   */
  readonly group: string
  /** The new version's server; `undefined` for all servers of the old version. */
  readonly server: string | undefined
  readonly outcome: Outcome
  readonly ageMs: number
  readonly count: number
}

/** Lower bounds of the ages that are told apart, in milliseconds. */
export const AGE_BOUNDS_MS = [0, 2_000, 6_000, 20_000, 60_000]

/** How long an observation counts, in milliseconds: a service may get few requests. */
export const MAX_AGE_MS = 600_000

/** Observations of one rollout. */
export interface RolloutObservations {
  readonly service: string
  readonly target: string
  readonly observations: readonly Observation[]
}

/** Classes of durations in each doubling of the duration. */
const CLASSES_PER_DOUBLING = 2

/** Periods over which the rate of requests is measured, in milliseconds. */
const RATE_PERIODS_MS = [6_000, 20_000]

const MS_PER_SECOND = 1_000

/**
 * Class of a duration in milliseconds. Each class is wider than the one below by a factor of
 * the square root of two; all durations below a millisecond are in the first one.
 *
 * @example
 * durationClass(16) // 8
 * durationClass(128) // 14
 */
export function durationClass(ms: number): DurationClass {
  const doublings = Math.log2(Math.max(1, ms))
  return Math.min(MAX_DURATION_CLASS, Math.floor(doublings * CLASSES_PER_DOUBLING))
}

/** Number of classes between durations that differ by a factor, rounded to the nearest. */
export function classesBetween(factor: number): number {
  return Math.round(Math.log2(factor) * CLASSES_PER_DOUBLING)
}

/** The lower bound of an age, of those that are told apart; both in milliseconds. */
function ageBound(ageMs: number): number {
  return AGE_BOUNDS_MS.findLast((boundMs) => ageMs >= boundMs) ?? 0
}

/** Adds the counts of observations that differ only in an age within the same bounds. */
export function mergeObservations(observations: Iterable<Observation>): Observation[] {
  const merged = new Map<string, { -readonly [K in keyof Observation]: Observation[K] }>()
  for (const observation of observations) {
    const { group, server = '', outcome, count } = observation
    const ageMs = ageBound(observation.ageMs)
    const key = `${ageMs} ${outcome} ${server} ${group}`
    const known = merged.get(key)
    if (known) known.count += count
    else merged.set(key, { ...observation, ageMs })
  }
  return [...merged.values()]
}

/**
 * Rate of requests that all entry instances observed, the highest of some recent periods;
 * `undefined` if there were none, or not enough time to tell.
 */
export function requestsPerSecond(
  observations: readonly Observation[],
  observedForMs: number,
): number | undefined {
  if (observedForMs < Math.min(...RATE_PERIODS_MS)) return undefined
  const rates = RATE_PERIODS_MS.map((periodMs) => {
    const results = observations.filter(
      ({ outcome, ageMs }) => typeof outcome !== 'number' && ageMs < periodMs,
    )
    return (sumCounts(results) / periodMs) * MS_PER_SECOND
  })
  const highest = Math.max(...rates)
  return highest > 0 ? highest : undefined
}

/** Number of observations in rows that hold several each. */
export function sumCounts(observations: readonly Observation[]): number {
  return observations.reduce((sum, { count }) => sum + count, 0)
}
