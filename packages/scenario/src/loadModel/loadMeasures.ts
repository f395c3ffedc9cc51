/** Figures drawn from a load run. */
import type { ClassOutcome, LoadClass } from './loadRun.js'

/** Good answers a second. */
export function goodput(outcomes: readonly ClassOutcome[], durationMs: number): number {
  return (sumOf(outcomes, ({ good }) => good) * 1_000) / durationMs
}

/** Part of the requests of the highest priority that got no answer in time. */
export function topMisses(
  classes: readonly LoadClass[],
  outcomes: readonly ClassOutcome[],
): number {
  const top = Math.max(...classes.map(({ priority }) => priority))
  const of = outcomes.filter((_, i) => classes[i]?.priority === top)
  return (
    1 -
    sumOf(of, ({ good }) => good) /
      Math.max(
        1,
        sumOf(of, (o) => o.offered),
      )
  )
}

/**
 * What the worst-off workspace got, divided by what it would get if everything
 * that was served had been dealt out by share to those who asked for it.
 */
export function leastShare(
  classes: readonly LoadClass[],
  outcomes: readonly ClassOutcome[],
): number {
  const demands = new Map<string, Demand>()
  classes.forEach((cls, i) => {
    const demand = demands.get(cls.workspace) ?? { share: cls.share, asked: 0, got: 0 }
    demand.asked += outcomes[i]?.offered ?? 0
    demand.got += outcomes[i]?.good ?? 0
    demands.set(cls.workspace, demand)
  })
  const all = [...demands.values()]
  const level = fairLevel(
    all,
    all.reduce((sum, { got }) => sum + got, 0),
  )
  const parts = all.map(({ share, asked, got }) => got / Math.min(asked, share * level))
  return Math.min(...parts)
}

/** Time to the first token that so many percent of the answers keep, in milliseconds. */
export function firstTokenAt(outcomes: readonly ClassOutcome[], percent: number): number {
  const [first, ...others] = outcomes.map(({ firstToken }) => firstToken)
  if (!first) return 0
  for (const other of others) first.add(other)
  return first.getValueAtPercentile(percent)
}

/** Seconds after `fallMs` until no later span of two seconds misses more than a tenth. */
export function recoverySeconds(
  outcomes: readonly ClassOutcome[],
  fallMs: number,
  endMs: number,
): number {
  const first = Math.floor(fallMs / 1_000)
  const last = Math.floor(endMs / 1_000)
  let recovered = 0
  for (let second = first; second + 1 < last; second += 2) {
    const asked = inSpan(outcomes, second, ({ offeredBySecond }) => offeredBySecond)
    const good = inSpan(outcomes, second, ({ goodBySecond }) => goodBySecond)
    if (good < asked * 0.9) recovered = second + 2 - first
  }
  return recovered
}

interface Demand {
  readonly share: number
  asked: number
  got: number
}

/** Answers for each unit of share at which exactly `total` is dealt out. */
function fairLevel(demands: readonly Demand[], total: number): number {
  let left = total
  let open = demands.toSorted((a, b) => a.asked / a.share - b.asked / b.share)
  for (;;) {
    const level = left / open.reduce((sum, { share }) => sum + share, 0)
    const [least] = open
    if (!least || least.asked / least.share >= level) return level
    left -= least.asked
    open = open.slice(1)
  }
}

function inSpan(
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
  of: (outcome: ClassOutcome) => number,
): number {
  return outcomes.reduce((sum, outcome) => sum + of(outcome), 0)
}
