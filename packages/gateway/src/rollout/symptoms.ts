/** Symptoms of a bad version, and how to find them in observations. */
import { classesBetween, durationClass, type Observation } from './observation.js'
import type { GroupSplit, SplitCounts } from './likelihoodRatio.js'

/** Minimum observations of the old version's speed for another speed to be called slow. */
const MIN_SPEEDS = 8

/** Durations below this are never slow, in milliseconds, as timers are that coarse. */
const MIN_SLOW_MS = 23

/** Whether an observation has a symptom; `undefined` if it doesn't tell. */
export type HasSymptom = (observation: Observation) => boolean | undefined

/** A symptom of a bad version, tested against its share among the old version's responses. */
export interface Symptom {
  readonly name: string
  /** Creates the test for a symptom, given all observations of the old version. */
  readonly createTest: (old: readonly Observation[]) => HasSymptom
  /** Share of a good version's responses that may have it even if none of the old ones do. */
  readonly toleratedShare: number
  /**
   * Shares of responses by which bad versions exceed a good one. Each is tested: a small
   * one recognizes a version that is bad for some requests only, a large one needs fewer
   * responses if all of them are bad.
   */
  readonly badVersionExcesses: readonly [smallest: number, ...others: number[]]
  /** Whether a good version must be shown not to have it. */
  readonly mustBeRuledOut: boolean
}

const FAILURES: Symptom = {
  name: 'failures',
  createTest:
    () =>
    ({ outcome }) =>
      typeof outcome === 'number' ? undefined : outcome === 'failed',
  toleratedShare: 0.03,
  badVersionExcesses: [0.3],
  mustBeRuledOut: true,
}

/** Under load, one in ten streams of a good version is slow, and nearly all of a bad one. */
const SLOWNESS: Symptom = {
  name: 'slowness',
  createTest: (old) => slowerThanUsual(old, 2.8),
  toleratedShare: 0.1,
  badVersionExcesses: [0.4, 0.8],
  mustBeRuledOut: false,
}

const STALLS: Symptom = {
  name: 'stalls',
  createTest: (old) => slowerThanUsual(old, 5.6),
  toleratedShare: 0.03,
  badVersionExcesses: [0.25],
  mustBeRuledOut: true,
}

export const SYMPTOMS = [FAILURES, SLOWNESS, STALLS]

/** Observations up to an age, by group. */
export interface WindowSplit {
  readonly maxAgeMs: number
  readonly groups: ReadonlyMap<string, GroupSplit>
}

type MutableCounts = [affected: number, other: number]

interface MutableGroup {
  readonly old: MutableCounts
  readonly newByServer: Map<string, MutableCounts>
}

/** Splits the observations by whether they have a symptom, for each age limit and group. */
export function splitByGroup(
  observations: readonly Observation[],
  hasSymptom: HasSymptom,
  maxAgesMs: readonly number[],
): WindowSplit[] {
  const windows = maxAgesMs.map((maxAgeMs) => ({
    maxAgeMs,
    groups: new Map<string, MutableGroup>(),
  }))
  for (const observation of observations) {
    const isAffected = hasSymptom(observation)
    if (isAffected === undefined) continue
    const { ageMs, count } = observation
    for (const { maxAgeMs, groups } of windows) {
      if (ageMs < maxAgeMs) countsOf(groups, observation)[isAffected ? 0 : 1] += count
    }
  }
  return windows
}

function countsOf(
  groups: Map<string, MutableGroup>,
  { group, server }: Observation,
): MutableCounts {
  let known = groups.get(group)
  if (!known) {
    known = { old: [0, 0], newByServer: new Map() }
    groups.set(group, known)
  }
  if (server === undefined) return known.old
  let counts = known.newByServer.get(server)
  if (!counts) {
    counts = [0, 0]
    known.newByServer.set(server, counts)
  }
  return counts
}

export function sumSplits(splits: readonly SplitCounts[]): SplitCounts {
  return splits.reduce((a, b) => [a[0] + b[0], a[1] + b[1]], [0, 0])
}

/**
 * Creates a test for observations that took longer than the old version's median by a
 * factor. Tells nothing where the old version's speed is unknown.
 */
function slowerThanUsual(old: readonly Observation[], factor: number): HasSymptom {
  const countsByGroup = new Map<string, number[]>()
  for (const { group, outcome, count } of old) {
    if (typeof outcome !== 'number') continue
    const counts = countsByGroup.get(group) ?? []
    counts[outcome] = (counts[outcome] ?? 0) + count
    countsByGroup.set(group, counts)
  }
  const slowFrom = new Map<string, number>()
  for (const [group, counts] of countsByGroup) {
    const median = medianClass(counts)
    if (median === undefined) continue
    const limit = median + classesBetween(factor)
    slowFrom.set(group, Math.max(limit, durationClass(MIN_SLOW_MS)))
  }
  return ({ group, outcome }) => {
    const limit = slowFrom.get(group)
    return typeof outcome === 'number' && limit !== undefined
      ? outcome >= limit
      : undefined
  }
}

/** Median of counts by class; `undefined` if there are too few. */
function medianClass(counts: readonly number[]): number | undefined {
  const total = counts.reduce((sum, count) => sum + count, 0)
  if (total < MIN_SPEEDS) return undefined
  let below = 0
  return counts.findIndex((count = 0) => {
    below += count
    return below * 2 >= total
  })
}
