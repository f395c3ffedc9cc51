/** Compares how often responses of a new version have a symptom with those of the old one. */

/** Numbers of observations with a symptom and without it. */
export type SplitCounts = readonly [affected: number, other: number]

/** Observations of one group that are compared. */
export interface GroupSplit {
  readonly old: SplitCounts
  readonly newByServer: ReadonlyMap<string, SplitCounts>
}

/** Largest share that a bad version is assumed to have; a few responses are always fine. */
const MAX_BAD_SHARE = 0.95

/** Factor by which a good version's share may exceed the old version's by chance. */
const TOLERATED_FACTOR = 1.3

/** Weight of the prior share, in observations, when a share is estimated. */
const PRIOR_WEIGHT = 4

/** Minimum number of servers with which a single bad server can be told from a bad version. */
const MIN_SERVERS = 3

/** Minimum observations on the other servers that say whether one server stands alone. */
const MIN_ON_OTHERS = 3

/**
 * Log-likelihood ratio from which a version must not be completed, and from which the other
 * servers support what the worst one shows.
 */
export const SUSPICION_THRESHOLD = Math.log(5)

/** Share of a server's responses from which on it may have crashed. */
const CRASHED_SERVER_SHARE = 0.8

/**
 * What the other servers must show in addition, as a log-likelihood ratio, if the worst one
 * is left out to accept a version.
 */
const LEFT_OUT_PENALTY = Math.log(20)

/** Share with a symptom among all; a prior share counts where there are few. */
export function affectedShare([affected, other]: SplitCounts, priorShare = 0): number {
  return (affected + priorShare * PRIOR_WEIGHT) / (affected + other + PRIOR_WEIGHT)
}

/** What one server's observations say. */
export interface ServerRatio {
  /** Log-likelihood ratio. */
  readonly ratio: number
  /** Number of observations, and of those with the symptom. */
  readonly count: number
  readonly affected: number
}

export type RatioByServer = ReadonlyMap<string, ServerRatio>

/**
 * How much more likely each server's observations are if its version is bad.
 *
 * @param oldShare Share of the old version's observations that have the symptom.
 * @param toleratedShare Share that a good version may have even if the old one has none.
 * @param excess Share by which a bad version exceeds a good one.
 * @returns `undefined` if the old version's share is too high to tell a bad version.
 */
export function ratioByServer(
  newByServer: GroupSplit['newByServer'],
  oldShare: number,
  toleratedShare: number,
  excess: number,
): RatioByServer | undefined {
  const goodShare = toleratedShare + oldShare * TOLERATED_FACTOR
  const badShare = Math.min(MAX_BAD_SHARE, goodShare + excess)
  if (badShare - goodShare < excess / 2) return undefined
  const perAffected = Math.log(badShare / goodShare)
  const perOther = Math.log((1 - badShare) / (1 - goodShare))
  return new Map(
    [...newByServer].map(([server, [affected, other]]) => [
      server,
      {
        ratio: affected * perAffected + other * perOther,
        count: affected + other,
        affected,
      },
    ]),
  )
}

/** Adds the ratios of several groups by server. */
export function sumRatios(groups: readonly RatioByServer[]): RatioByServer {
  const sums = new Map<string, ServerRatio>()
  for (const group of groups) {
    for (const [server, { ratio, count, affected }] of group) {
      const sum = sums.get(server)
      sums.set(server, {
        ratio: ratio + (sum?.ratio ?? 0),
        count: count + (sum?.count ?? 0),
        affected: affected + (sum?.affected ?? 0),
      })
    }
  }
  return sums
}

/**
 * Ratio of all servers together. One server alone can't make its version bad: if the others
 * don't support what the worst one shows, only they count.
 *
 * @param ifOthersUnknown What the worst server may cause while too little is known of the
 *   others: a suspicion, or nothing.
 *
 * @example
 * joinServers(new Map([['s1', { ratio: 9, count: 5 }]]), 3) // below the threshold for 'bad'
 */
export function joinServers(
  byServer: RatioByServer,
  serverCount: number,
  ifOthersUnknown: 'suspicion' | 'nothing' = 'suspicion',
): number {
  const ratios = [...byServer.values()].sort((a, b) => b.ratio - a.ratio)
  const total = ratios.reduce((sum, { ratio }) => sum + ratio, 0)
  if (Math.max(serverCount, ratios.length) < MIN_SERVERS) return total
  const others = ratios.slice(1)
  const ratioOfOthers = others.reduce((sum, { ratio }) => sum + ratio, 0)
  if (ratioOfOthers >= SUSPICION_THRESHOLD) return total
  const countOfOthers = others.reduce((sum, { count }) => sum + count, 0)
  const isSuspicion = ifOthersUnknown === 'suspicion' && countOfOthers < MIN_ON_OTHERS
  return Math.min(total, isSuspicion ? SUSPICION_THRESHOLD : ratioOfOthers)
}

/**
 * Ratio that must be low for a version to be accepted: of all servers, or of all but one of
 * which nearly all responses are bad, as a server may crash in a good version too.
 */
export function joinForAcceptance(byServer: RatioByServer, serverCount: number): number {
  const servers = [...byServer.values()]
  const total = servers.reduce((sum, { ratio }) => sum + ratio, 0)
  const worst = servers.toSorted((a, b) => b.ratio - a.ratio)[0]
  const isLeftOut =
    worst !== undefined &&
    Math.max(serverCount, servers.length) >= MIN_SERVERS &&
    worst.affected >= worst.count * CRASHED_SERVER_SHARE
  return isLeftOut ? Math.min(total, total - worst.ratio + LEFT_OUT_PENALTY) : total
}
