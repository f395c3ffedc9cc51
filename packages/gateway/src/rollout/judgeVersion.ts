/**
 * Evaluates a new version by comparing its responses with those of the old version.
 *
 * Detects a version that fails part of its requests or is several times slower, whether at
 * once, after a while, only under load or only on one route, although crashes, lossy links
 * and load cause failures and slow responses of both versions. Each route is compared with
 * itself, because routes of one service may fail more or less often. A version on which
 * little is known is neither good nor bad.
 */
import { AGE_BOUNDS_MS, MAX_AGE_MS, sumCounts, type Observation } from './observation.js'
import {
  SUSPICION_THRESHOLD,
  affectedShare,
  joinForAcceptance,
  joinServers,
  ratioByServer,
  sumRatios,
  type GroupSplit,
  type RatioByServer,
} from './likelihoodRatio.js'
import {
  SYMPTOMS,
  splitByGroup,
  sumSplits,
  type Symptom,
  type WindowSplit,
} from './symptoms.js'

/**
 * Ages up to which observations are evaluated together, in milliseconds. Short ones find a
 * version that has turned bad, which earlier good responses would hide.
 */
const WINDOWS_MS = [...AGE_BOUNDS_MS.slice(1), MAX_AGE_MS]

/** Age up to which observations tell which routes a service's requests are for. */
const TRAFFIC_WINDOW_MS = 60_000

/** Log-likelihood ratio from which a version is rejected. */
const REJECTION_THRESHOLD = Math.log(100)

/** Negated log-likelihood ratio from which a version is shown to be good. */
const ACCEPTANCE_THRESHOLD = Math.log(200)

/** The same for one group that has a significant share of the service's responses. */
const GROUP_ACCEPTANCE_THRESHOLD = Math.log(5)

/**
 * The same for the newest responses, of which there must be some: a version may have turned
 * bad, or be bad only under the load that it got last.
 */
const RECENT_ACCEPTANCE_THRESHOLD = Math.log(8)
const MIN_RECENT = 10

/** Share of a service's observations from which on a group must be shown to be good. */
const SIGNIFICANT_GROUP_SHARE = 0.15

/** Minimum observations of the old version in a group for it to speak against the new one. */
const MIN_GROUP_BASELINE = 4

/**
 * Minimum results of the old version for the new one to be compared with it, and number
 * without any speed from which on the service counts as one whose speed can't be measured.
 */
const MIN_BASELINE = 20

/** `undecided` means that too little is known to complete or to reject a version. */
export type VersionVerdict = 'good' | 'undecided' | 'suspect' | 'bad'

/** A verdict with what it is based on. */
export interface Judgement {
  readonly verdict: VersionVerdict
  /** Whether enough is known of the old version to compare the new one with it. */
  readonly hasBaseline: boolean
  /** What speaks most against the version. */
  readonly worst: Suspicion
  readonly counts: Readonly<Record<'old' | 'new', ResultCounts>>
}

/** How strongly a symptom speaks against a version. */
export interface Suspicion {
  readonly symptom: string
  /** Where it shows; `undefined` for all groups together. */
  readonly group: string | undefined
  /** Age of the oldest observations, in milliseconds. */
  readonly windowMs: number
  readonly logRatio: number
}

/** Numbers of results by their kind, and of measured speeds. */
export interface ResultCounts {
  readonly ok: number
  readonly failed: number
  readonly measured: number
}

/** What the observations say on one symptom. */
interface SymptomView {
  readonly symptom: Symptom
  /** All observations by group. */
  readonly allTime: ReadonlyMap<string, GroupSplit>
  /** Share of the old version's observations that have the symptom. */
  readonly pooledShare: number
  /** Observations of each window, the shortest one first. */
  readonly windows: readonly WindowSplit[]
  /** Groups of a significant share of the service's responses. */
  readonly significantGroups: readonly string[]
}

const NO_SUSPICION: Suspicion = {
  symptom: 'none',
  group: undefined,
  windowMs: 0,
  logRatio: Number.NEGATIVE_INFINITY,
}

/**
 * Judges the new version: a bad one must be rejected at once, only a good one may replace the
 * old one.
 *
 * @param observations Observations of both versions, from all entry instances.
 * @param newServerCount Number of servers of the new version.
 *
 * @example
 * judgeVersion([], 3).verdict // 'undecided'
 */
export function judgeVersion(
  observations: readonly Observation[],
  newServerCount: number,
): Judgement {
  const counts = {
    old: countResults(observations.filter(({ server }) => server === undefined)),
    new: countResults(observations.filter(({ server }) => server !== undefined)),
  }
  const views = SYMPTOMS.map((symptom) => viewSymptom(symptom, observations))
  const worst = views
    .flatMap((view) => suspicions(view, newServerCount))
    .reduce((a, b) => (b.logRatio > a.logRatio ? b : a), NO_SUSPICION)
  const isGood = views.every(
    (view) =>
      !view.symptom.mustBeRuledOut ||
      isRuledOut(view, newServerCount) ||
      isUnmeasurable(view, counts.old),
  )
  const hasBaseline = counts.old.ok + counts.old.failed >= MIN_BASELINE
  return { verdict: verdictOf(worst, isGood), hasBaseline, worst, counts }
}

function verdictOf({ logRatio }: Suspicion, isGood: boolean): VersionVerdict {
  if (logRatio >= REJECTION_THRESHOLD) return 'bad'
  if (logRatio >= SUSPICION_THRESHOLD) return 'suspect'
  return isGood ? 'good' : 'undecided'
}

function viewSymptom(
  symptom: Symptom,
  observations: readonly Observation[],
): SymptomView {
  const old = observations.filter(({ server }) => server === undefined)
  const hasSymptom = symptom.createTest(old)
  const windows = splitByGroup(observations, hasSymptom, WINDOWS_MS)
  const allTime = windows.at(-1)?.groups ?? new Map<string, GroupSplit>()
  const traffic = windows.find(({ maxAgeMs }) => maxAgeMs === TRAFFIC_WINDOW_MS)
  return {
    symptom,
    allTime,
    pooledShare: affectedShare(sumSplits([...allTime.values()].map((g) => g.old))),
    windows,
    significantGroups: significantGroups(traffic?.groups ?? allTime),
  }
}

/** Ratios of the groups in one window; groups in which no share could tell are left out. */
function ratiosByGroup(
  { symptom, allTime, pooledShare }: SymptomView,
  { groups }: WindowSplit,
  excess: number,
): Map<string, RatioByServer> {
  const ratios = new Map<string, RatioByServer>()
  for (const [group, { old, newByServer }] of groups) {
    const usualShare = affectedShare(allTime.get(group)?.old ?? [0, 0], pooledShare)
    const oldShare = affectedShare(old, usualShare)
    const byServer = ratioByServer(newByServer, oldShare, symptom.toleratedShare, excess)
    if (byServer) ratios.set(group, byServer)
  }
  return ratios
}

/** How strongly a symptom speaks against the version, in each window and group. */
function suspicions(view: SymptomView, newServerCount: number): Suspicion[] {
  const { name, badVersionExcesses } = view.symptom
  const hasGroupBaseline = (group: string): boolean => {
    const [affected, other] = view.allTime.get(group)?.old ?? [0, 0]
    return affected + other >= MIN_GROUP_BASELINE
  }
  return view.windows.flatMap((window) =>
    badVersionExcesses.flatMap((excess): Suspicion[] => {
      const ratios = [...ratiosByGroup(view, window, excess)].filter(([group]) =>
        hasGroupBaseline(group),
      )
      const all = sumRatios(ratios.map(([, byServer]) => byServer))
      const windowMs = window.maxAgeMs
      return [
        ...ratios.map(([group, byServer]) => ({
          symptom: name,
          group,
          windowMs,
          logRatio: joinServers(byServer, newServerCount, 'nothing'),
        })),
        {
          symptom: name,
          group: undefined,
          windowMs,
          logRatio: joinServers(all, newServerCount),
        },
      ]
    }),
  )
}

/**
 * Whether the version is shown not to have a symptom: by all its responses, by the newest
 * ones and by those of each significant group.
 */
function isRuledOut(view: SymptomView, newServerCount: number): boolean {
  const [excess] = view.symptom.badVersionExcesses
  const windows = view.windows.map((window) => {
    const ratios = ratiosByGroup(view, window, excess)
    const all = sumRatios([...ratios.values()])
    return { ratios, all, joined: joinForAcceptance(all, newServerCount) }
  })
  const recent = windows.find(({ all }) => countObservations(all) >= MIN_RECENT)
  const longest = windows.at(-1)
  if (!recent || !longest) return false
  return (
    windows.some(({ joined }) => joined <= -ACCEPTANCE_THRESHOLD) &&
    recent.joined <= -RECENT_ACCEPTANCE_THRESHOLD &&
    view.significantGroups.every((group) => {
      const byServer = longest.ratios.get(group)
      if (!byServer) return true
      const joined = joinForAcceptance(byServer, newServerCount)
      return joined <= -GROUP_ACCEPTANCE_THRESHOLD
    })
  )
}

/** Whether the symptom is one of speed, and no speed of the old version could be told. */
function isUnmeasurable({ allTime }: SymptomView, old: ResultCounts): boolean {
  return allTime.size === 0 && old.measured === 0 && old.ok >= MIN_BASELINE
}

/** Groups that have a significant share of both versions' observations. */
function significantGroups(groups: ReadonlyMap<string, GroupSplit>): string[] {
  const sizes = [...groups].map(([group, { old, newByServer }]) => {
    const [affected, other] = sumSplits([old, ...newByServer.values()])
    return { group, size: affected + other }
  })
  const total = sizes.reduce((sum, { size }) => sum + size, 0)
  return sizes
    .filter(({ size }) => size >= total * SIGNIFICANT_GROUP_SHARE)
    .map(({ group }) => group)
}

function countObservations(byServer: RatioByServer): number {
  return [...byServer.values()].reduce((sum, { count }) => sum + count, 0)
}

function countResults(observations: readonly Observation[]): ResultCounts {
  const sum = (matches: (o: Observation) => boolean): number =>
    sumCounts(observations.filter(matches))
  return {
    ok: sum(({ outcome }) => outcome === 'ok'),
    failed: sum(({ outcome }) => outcome === 'failed'),
    measured: sum(({ outcome }) => typeof outcome === 'number'),
  }
}
