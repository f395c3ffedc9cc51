/** Simple version policies that the real one is measured against. */
import { armsOf, versionCost, type Arm } from './cascadeArms.js'
import { toPlan } from './versionSelection.js'
import type { VersionPlan, VersionPolicy, VersionQuery } from './versionPolicy.js'

/**
 * Takes the version that its owner expects to be best.
 *
 * @example
 * alwaysBest(query)?.key // 'summariser@large'
 */
export const alwaysBest: VersionPolicy = (query) =>
  planOf(
    served(query).toSorted((a, b) => expected(b) - expected(a)),
    query,
  )

/**
 * Takes the version with the lowest price.
 *
 * @example
 * alwaysCheapest(query)?.key // 'summariser@small'
 */
export const alwaysCheapest: VersionPolicy = (query) =>
  planOf(
    served(query).toSorted((a, b) => cost(a) - cost(b)),
    query,
  )

/**
 * Splits requests between the cheapest and the best version.
 *
 * @param cheapShare Part of the requests that get the cheapest.
 *
 * @example
 * fixedSplit(0.5)(query)?.key
 */
export function fixedSplit(cheapShare: number): VersionPolicy {
  return (query) =>
    query.random() < cheapShare ? alwaysCheapest(query) : alwaysBest(query)
}

/**
 * Takes the cheapest version whose estimated mean meets the target, else the best mean.
 *
 * @example
 * greedyOnMeans(query)?.key
 */
export const greedyOnMeans: VersionPolicy = (query) => {
  const arms = served(query)
  const mean = (arm: Arm): number => query.estimate(arm).quality.longTerm.mean
  const good = arms.filter((arm) => mean(arm) >= query.cls.quality.target)
  const ranked =
    good.length > 0
      ? good.toSorted((a, b) => cost(a) - cost(b))
      : arms.toSorted((a, b) => mean(b) - mean(a))
  return planOf(ranked, query)
}

function served(query: VersionQuery): Arm[] {
  return armsOf(query.candidates.filter(query.hasBackend), false)
}

function planOf(ranked: readonly Arm[], query: VersionQuery): VersionPlan | undefined {
  const first = ranked[0]
  return first && toPlan(first, query)
}

function expected(arm: Arm): number {
  return arm.steps[0]?.expectedQuality ?? 0
}

function cost(arm: Arm): number {
  return arm.steps[0] ? versionCost(arm.steps[0]) : 0
}
