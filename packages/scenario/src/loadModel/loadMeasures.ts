/** Measures computed from the outcomes of a load run. */
import type { ClassOutcome, LoadClass } from './loadRun.js'

/** Responses per second whose first token came within the target. */
export function goodput(outcomes: readonly ClassOutcome[], durationMs: number): number {
  return (sumOf(outcomes, ({ good }) => good) * 1_000) / durationMs
}

/** Fraction of the highest-priority requests without a first token within the target. */
export function topPriorityMissRate(
  classes: readonly LoadClass[],
  outcomes: readonly ClassOutcome[],
): number {
  const topPriority = Math.max(...classes.map(({ priority }) => priority))
  const topOutcomes = outcomes.filter((_, i) => classes[i]?.priority === topPriority)
  return (
    1 -
    sumOf(topOutcomes, ({ good }) => good) /
      Math.max(
        1,
        sumOf(topOutcomes, (topOutcome) => topOutcome.offered),
      )
  )
}

/**
 * Good responses of a workspace divided by those it would get if the same total were
 * distributed by weighted max-min fairness; the smallest ratio of all workspaces.
 */
export function minFairShareRatio(
  classes: readonly LoadClass[],
  outcomes: readonly ClassOutcome[],
): number {
  const demands = new Map<string, Demand>()
  classes.forEach((cls, i) => {
    const demand = demands.get(cls.workspace) ?? {
      share: cls.share,
      requested: 0,
      served: 0,
    }
    demand.requested += outcomes[i]?.offered ?? 0
    demand.served += outcomes[i]?.good ?? 0
    demands.set(cls.workspace, demand)
  })
  const allDemands = [...demands.values()]
  const level = fairLevel(
    allDemands,
    allDemands.reduce((sum, { served }) => sum + served, 0),
  )
  const ratios = allDemands.map(
    ({ share, requested, served }) => served / Math.min(requested, share * level),
  )
  return Math.min(...ratios)
}

/** A percentile of the time to first token of all classes, in milliseconds. */
export function firstTokenPercentile(
  outcomes: readonly ClassOutcome[],
  percentile: number,
): number {
  const [first, ...others] = outcomes.map(({ firstToken }) => firstToken)
  if (!first) return 0
  for (const other of others) first.add(other)
  return first.getValueAtPercentile(percentile)
}

/**
 * Seconds from `overloadEndMs` until no later span of two seconds has fewer good responses
 * than 90 % of its requests.
 */
export function recoverySeconds(
  outcomes: readonly ClassOutcome[],
  overloadEndMs: number,
  endMs: number,
): number {
  const first = Math.floor(overloadEndMs / 1_000)
  const last = Math.floor(endMs / 1_000)
  let recovered = 0
  for (let second = first; second + 1 < last; second += 2) {
    const offered = sumOfTwoSeconds(
      outcomes,
      second,
      ({ offeredBySecond }) => offeredBySecond,
    )
    const good = sumOfTwoSeconds(outcomes, second, ({ goodBySecond }) => goodBySecond)
    if (good < offered * 0.9) recovered = second + 2 - first
  }
  return recovered
}

/** Requests and good responses of one workspace. */
interface Demand {
  readonly share: number
  requested: number
  served: number
}

/**
 * Responses per unit of share at which exactly `total` is distributed, if no workspace
 * gets more than it requested.
 */
function fairLevel(demands: readonly Demand[], total: number): number {
  let remaining = total
  let unsatisfied = demands.toSorted(
    (a, b) => a.requested / a.share - b.requested / b.share,
  )
  for (;;) {
    const level = remaining / unsatisfied.reduce((sum, { share }) => sum + share, 0)
    const [smallest] = unsatisfied
    if (!smallest || smallest.requested / smallest.share >= level) return level
    remaining -= smallest.requested
    unsatisfied = unsatisfied.slice(1)
  }
}

/** Sum of the counts of `second` and of the second after it. */
function sumOfTwoSeconds(
  outcomes: readonly ClassOutcome[],
  second: number,
  countsOf: (outcome: ClassOutcome) => ReadonlyMap<number, number>,
): number {
  return sumOf(outcomes, (outcome) => {
    const counts = countsOf(outcome)
    return (counts.get(second) ?? 0) + (counts.get(second + 1) ?? 0)
  })
}

function sumOf(
  outcomes: readonly ClassOutcome[],
  valueOf: (outcome: ClassOutcome) => number,
): number {
  return outcomes.reduce((sum, outcome) => sum + valueOf(outcome), 0)
}
