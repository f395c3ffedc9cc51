/**
 * Judges a new version by its answers beside those of the old one.
 *
 * Answers the patterns in which a version fails part of its requests at once, after a
 * while or under load, while crashes and lossy links spoil answers of both versions: the
 * old version's failures in the same time are what the new one is measured against, and
 * one bad server alone doesn't condemn a version.
 */
import type { AnswerCounts } from './serverEvidence.js'

/** Share of failures that a good version may have though the old one has none. */
const TOLERATED_SHARE = 0.03

/** Factor by which a good version's share may lie above the old one's by chance. */
const TOLERATED_FACTOR = 1.3

/** Share of failures that a bad version has beyond a good one's. */
const BAD_EXCESS = 0.25

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
 * isBadVersion([{ good: 90, bad: 1 }], [{ good: 2, bad: 4 }, { good: 1, bad: 5 }])
 */
export function isBadVersion(
  before: readonly AnswerCounts[],
  target: readonly AnswerCounts[],
): boolean {
  const old = sum(before)
  const oldShare = old.bad / (old.good + old.bad + PRIOR_GOOD)
  const goodShare = TOLERATED_SHARE + oldShare * TOLERATED_FACTOR
  const badShare = Math.min(0.95, goodShare + BAD_EXCESS)
  if (goodShare >= badShare) return false
  const weigh = ({ good, bad }: AnswerCounts): number =>
    bad * Math.log(badShare / goodShare) +
    good * Math.log((1 - badShare) / (1 - goodShare))
  return weigh(sum(withoutOutlier(target))) >= CONDEMNING_WEIGHT
}

/** Counts in which the worst server has no more failures than the second worst. */
function withoutOutlier(servers: readonly AnswerCounts[]): readonly AnswerCounts[] {
  if (servers.length < LEAST_SERVERS) return servers
  const [, second = 0] = servers.map(({ bad }) => bad).toSorted((a, b) => b - a)
  return servers.map(({ good, bad }) => ({ good, bad: Math.min(bad, second) }))
}

function sum(all: readonly AnswerCounts[]): AnswerCounts {
  return all.reduce(
    (total, { good, bad }) => ({ good: total.good + good, bad: total.bad + bad }),
    { good: 0, bad: 0 },
  )
}
