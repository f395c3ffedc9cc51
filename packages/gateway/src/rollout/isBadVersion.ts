/**
 * Judges a new version by comparing its responses with those of the old version.
 *
 * Detects a version that fails part of its requests, whether at once, after a while or only
 * under load, although crashes and lossy links also cause failures of both versions. The
 * old version's failures over the same time are the baseline, and a single bad server is
 * not enough to reject a version. A version that is several times slower is detected in
 * the same way, although load slows the responses of both.
 */
import type { ResponseCounts } from './serverEvidence.js'

/** Number of responses that show a symptom, and of those that don't. */
type SplitCounts = readonly [shows: number, other: number]

/** A symptom of a bad version, tested against its share among the old version's responses. */
interface Symptom {
  /** Splits a server's responses into those that show the symptom and the others. */
  readonly split: (counts: ResponseCounts) => SplitCounts
  /** Share of a good version's responses that may show it even if none of the old ones do. */
  readonly toleratedShare: number
  /** Share of responses by which a bad version exceeds a good one. */
  readonly badVersionExcess: number
}

const FAILURES: Symptom = {
  split: ({ good, slow, bad }) => [bad, good + slow],
  toleratedShare: 0.03,
  badVersionExcess: 0.25,
}

/** Under load, one in ten streams of a good version is slow, and nearly all of a bad one. */
const SLOWNESS: Symptom = {
  split: ({ good, slow }) => [slow, good],
  toleratedShare: 0.1,
  badVersionExcess: 0.4,
}

/** Factor by which a good version's share may exceed the old version's by chance. */
const TOLERATED_FACTOR = 1.3

/**
 * Log-likelihood ratio from which a version is rejected. A good version reaches it in one
 * of a hundred rollouts.
 */
const REJECTION_THRESHOLD = Math.log(100)

/**
 * Good responses assumed for the old version in advance, so that a failure of its first
 * response doesn't count as a failure share of one.
 */
const PRIOR_RESPONSES = 4

/** Minimum number of servers with which a single bad server can be told from a bad version. */
const MIN_SERVERS = 3

/**
 * Whether the new version must be rejected.
 *
 * @param oldServers Response counts of each server of the old version.
 * @param newServers Response counts of each server of the new version.
 *
 * @example
 * isBadVersion([{ good: 90, slow: 0, bad: 1 }], [{ good: 2, slow: 1, bad: 4 }])
 */
export function isBadVersion(
  oldServers: readonly ResponseCounts[],
  newServers: readonly ResponseCounts[],
): boolean {
  return [FAILURES, SLOWNESS].some((symptom) =>
    isRejectedFor(symptom, oldServers, newServers),
  )
}

function isRejectedFor(
  { split, toleratedShare, badVersionExcess }: Symptom,
  oldServers: readonly ResponseCounts[],
  newServers: readonly ResponseCounts[],
): boolean {
  const [oldShows, oldOther] = sumPairs(oldServers.map(split))
  const oldShare = oldShows / (oldShows + oldOther + PRIOR_RESPONSES)
  const goodShare = toleratedShare + oldShare * TOLERATED_FACTOR
  const badShare = Math.min(0.95, goodShare + badVersionExcess)
  if (goodShare >= badShare) return false
  const [shows, other] = sumPairs(withoutOutlier(newServers.map(split)))
  const logLikelihoodRatio =
    shows * Math.log(badShare / goodShare) +
    other * Math.log((1 - badShare) / (1 - goodShare))
  return logLikelihoodRatio >= REJECTION_THRESHOLD
}

/** Caps the worst server's count at that of the second worst, so that one server can't decide. */
function withoutOutlier(servers: readonly SplitCounts[]): readonly SplitCounts[] {
  if (servers.length < MIN_SERVERS) return servers
  const [, secondWorst = 0] = servers.map(([shows]) => shows).toSorted((a, b) => b - a)
  return servers.map(([shows, other]) => [Math.min(shows, secondWorst), other])
}

function sumPairs(pairs: readonly SplitCounts[]): SplitCounts {
  return pairs.reduce<SplitCounts>(
    ([shows, other], [moreShows, moreOther]) => [shows + moreShows, other + moreOther],
    [0, 0],
  )
}
