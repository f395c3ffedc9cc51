/**
 * Judges a new version by its answers beside those of the old one.
 *
 * Answers the patterns in which a version fails part of its requests at once, after a
 * while or under load, while crashes and lossy links spoil answers of both versions: the
 * old version's failures in the same time are what the new one is measured against, and
 * one bad server alone doesn't condemn a version. Likewise a version that is several
 * times slower, while load makes answers of both slow.
 */
import type { ResponseCounts } from './serverEvidence.js'

type Pair = readonly [shows: number, other: number]

/** What is held against a version, beside what the old version shows of the same. */
interface Fault {
  /** How many of a server's answers show it, and how many don't. */
  readonly split: (counts: ResponseCounts) => Pair
  /** Share of answers that may show it though none of the old version does. */
  readonly tolerated: number
  /** Share of answers that a bad version has beyond a good one's. */
  readonly badExcess: number
}

const FAILURES: Fault = {
  split: ({ good, slow, bad }) => [bad, good + slow],
  tolerated: 0.03,
  badExcess: 0.25,
}

/** Load makes one stream in ten slow at a good version; nearly all are at a bad one. */
const SLOWNESS: Fault = {
  split: ({ good, slow }) => [slow, good],
  tolerated: 0.1,
  badExcess: 0.4,
}

/** Factor by which a good version's share may lie above the old one's by chance. */
const TOLERATED_FACTOR = 1.3

/** Weight of evidence that condemns: a good version reaches it once in a hundred times. */
const CONDEMNING_WEIGHT = Math.log(100)

/** Imaginary good answers of the old version, so that its first failure isn't a share of one. */
const PRIOR_GOOD = 4

/** Servers from which one is enough to be told from its version. */
const LEAST_SERVERS = 3

/**
 * Whether the new version is bad.
 *
 * @param before Counts of each server of the old version.
 * @param target Counts of each server of the new version.
 *
 * @example
 * isBadVersion([{ good: 90, slow: 0, bad: 1 }], [{ good: 2, slow: 1, bad: 4 }])
 */
export function isBadVersion(
  before: readonly ResponseCounts[],
  target: readonly ResponseCounts[],
): boolean {
  return [FAILURES, SLOWNESS].some((fault) => isCondemned(fault, before, target))
}

function isCondemned(
  { split, tolerated, badExcess }: Fault,
  before: readonly ResponseCounts[],
  target: readonly ResponseCounts[],
): boolean {
  const [oldShows, oldOther] = sum(before.map(split))
  const oldShare = oldShows / (oldShows + oldOther + PRIOR_GOOD)
  const goodShare = tolerated + oldShare * TOLERATED_FACTOR
  const badShare = Math.min(0.95, goodShare + badExcess)
  if (goodShare >= badShare) return false
  const [shows, other] = sum(withoutOutlier(target.map(split)))
  const weight =
    shows * Math.log(badShare / goodShare) +
    other * Math.log((1 - badShare) / (1 - goodShare))
  return weight >= CONDEMNING_WEIGHT
}

/** Counts in which the worst server shows no more than the second worst. */
function withoutOutlier(servers: readonly Pair[]): readonly Pair[] {
  if (servers.length < LEAST_SERVERS) return servers
  const [, second = 0] = servers.map(([shows]) => shows).toSorted((a, b) => b - a)
  return servers.map(([shows, other]) => [Math.min(shows, second), other])
}

function sum(all: readonly Pair[]): Pair {
  return all.reduce<Pair>(
    ([shows, other], [moreShows, moreOther]) => [shows + moreShows, other + moreOther],
    [0, 0],
  )
}
