/** Simple version policies that serve as baselines for `cheapestMeetingTargets`. */
import { armsOf, versionCost, type Arm } from './cascadeArms.js'
import { toPlan } from './versionSelection.js'
import type { VersionPlan, VersionPolicy, VersionQuery } from './versionPolicy.js'

/**
 * Selects the version with the highest quality expected by its owner.
 *
 * @example
 * alwaysBest(query)?.key // 'summariser@large'
 */
export const alwaysBest: VersionPolicy = (query) =>
  planForFirst(
    servedVersions(query).toSorted((a, b) => expectedQuality(b) - expectedQuality(a)),
    query,
  )

/**
 * Selects the version with the lowest price.
 *
 * @example
 * alwaysCheapest(query)?.key // 'summariser@small'
 */
export const alwaysCheapest: VersionPolicy = (query) =>
  planForFirst(
    servedVersions(query).toSorted((a, b) => cost(a) - cost(b)),
    query,
  )

/**
 * Splits requests between the cheapest and the best version.
 *
 * @param cheapShare Fraction of the requests that get the cheapest version.
 *
 * @example
 * fixedSplit(0.5)(query)?.key
 */
export function fixedSplit(cheapShare: number): VersionPolicy {
  return (query) =>
    query.random() < cheapShare ? alwaysCheapest(query) : alwaysBest(query)
}

/**
 * Selects the cheapest version whose estimated mean quality meets the target, or else the
 * version with the highest mean.
 *
 * @example
 * greedyOnMeans(query)?.key
 */
export const greedyOnMeans: VersionPolicy = (query) => {
  const arms = servedVersions(query)
  const mean = (arm: Arm): number => query.estimate(arm).quality.longTerm.mean
  const meetingTarget = arms.filter((arm) => mean(arm) >= query.cls.quality.target)
  const ranked =
    meetingTarget.length > 0
      ? meetingTarget.toSorted((a, b) => cost(a) - cost(b))
      : arms.toSorted((a, b) => mean(b) - mean(a))
  return planForFirst(ranked, query)
}

function servedVersions(query: VersionQuery): Arm[] {
  return armsOf(query.candidates.filter(query.hasBackend), false)
}

function planForFirst(
  ranked: readonly Arm[],
  query: VersionQuery,
): VersionPlan | undefined {
  const first = ranked[0]
  return first && toPlan(first, query)
}

function expectedQuality(arm: Arm): number {
  return arm.steps[0]?.expectedQuality ?? 0
}

function cost(arm: Arm): number {
  return arm.steps[0] ? versionCost(arm.steps[0]) : 0
}
