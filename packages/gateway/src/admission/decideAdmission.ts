/**
 * Decides whether a request of a service with models is sent now, and how urgently, or
 * refused now as not run.
 *
 * Handles two load patterns. A load of short requests beyond the slots of all engines: the
 * least urgent requests are refused until the others and a part of them fit, instead of
 * filling queues until their deadlines. A workspace far over its share: the engines serve
 * its excess after the requests of the others while there is a queue for prefill.
 */
import type { Random } from '@wagtailway/core'
import { WORKSPACE_URGENCY_STEP } from '../model/urgency.js'

/** How full all servers of a service are. */
export interface ServicePressure {
  /** Requests in progress for each slot; above 1, some wait for a slot. */
  readonly occupancy: number
  /** Mean expected prefill time of the requests that wait at one server, in milliseconds. */
  readonly meanWaitMs: number
  /** The part of it at urgency `DEMOTION` and less urgent levels. */
  readonly demotedWaitMs: number
  /** Age of what other instances told of their loads; `undefined` if nothing is known. */
  readonly ageMs: number | undefined
}

/**
 * Levels by which demoted requests are less urgent: their short prompts, which have the most
 * urgent level otherwise, come after all prompts of workspaces with the same priority.
 */
export const DEMOTION = 2 * WORKSPACE_URGENCY_STEP

/** Occupancy that refusals aim at: engines of unequal speed queue before all slots are taken. */
const TARGET_OCCUPANCY = 0.9

/**
 * Wait of demoted requests that refusals aim at, in milliseconds. Without a bound they hold
 * slots while they wait for prefill, and more urgent requests no longer go to larger models. In
 * virtual time 500 ms protected the others as well, but earned 0.13 less in total.
 */
const TARGET_DEMOTED_WAIT_MS = 1_000

/**
 * Change of the shed level in one second for a relative error of 1. Loads are up to 0.6 s old
 * and a short request holds its slot for about 0.8 s, so a faster change oscillates.
 */
const CHANGE_PER_S = 0.8

/** Bounds of the relative error. */
const MIN_ERROR = -1
const MAX_ERROR = 2

/** Least part of the requests that is admitted. */
const LEAST_ADMITTED = 0.02

/** Negative logarithms of parts of the requests that are admitted. */
export interface ShedLevels {
  /** Of all requests; follows the occupancy. */
  readonly all: number
  /** Of those beyond the share of their workspace; follows the wait of demoted requests. */
  readonly excess: number
}

/**
 * The next shed levels. On a logarithmic scale the servers react the same whether the load is
 * twice or ten times the capacity. The wait refuses only what is beyond a share: with loads
 * that were 1 to 3 s old it otherwise refused a fifth to a third of the others' requests.
 *
 * @param elapsedMs Time since the last call, in milliseconds.
 *
 * @example
 * nextShedLevels({ all: 0, excess: 0 }, { occupancy: 1.8, meanWaitMs: 900, demotedWaitMs: 0, ageMs: 200 }, 100).all // 0.08
 */
export function nextShedLevels(
  { all, excess }: ShedLevels,
  { occupancy, demotedWaitMs }: ServicePressure,
  elapsedMs: number,
): ShedLevels {
  return {
    all: nextLevel(all, occupancy / TARGET_OCCUPANCY, elapsedMs),
    excess: nextLevel(excess, demotedWaitMs / TARGET_DEMOTED_WAIT_MS, elapsedMs),
  }
}

/** @param ratio Measured value relative to the one aimed at. */
function nextLevel(level: number, ratio: number, elapsedMs: number): number {
  const error = Math.min(MAX_ERROR, Math.max(MIN_ERROR, ratio - 1))
  const next = level + error * CHANGE_PER_S * (elapsedMs / 1_000)
  return Math.min(-Math.log(LEAST_ADMITTED), Math.max(0, next))
}

/** Recent requests that are refused together, the first ones to be refused first. */
export interface ShedGroup {
  readonly rank: number
  /** Part of all recent requests. */
  readonly part: number
}

/** Rank of requests beyond the share of their workspace, which are refused first. */
export const EXCESS_RANK = 0

/**
 * Part of each priority that is served at least, relative to that of all requests. The floor
 * is a quarter; the rest is a margin, as the parts of groups are estimated. Requests beyond a
 * share need none: their workspace is served those within it.
 */
const FLOOR = 0.35

/**
 * Chance of admission of a group, if all groups together are admitted to a part: groups of a
 * lower rank give up theirs first, down to the floor.
 *
 * @param groups All groups, in any order.
 *
 * @example
 * admitChance([{ rank: 8, part: 0.9 }, { rank: 9, part: 0.1 }], 8, 0.5) // 0.44
 */
export function admitChance(
  groups: readonly ShedGroup[],
  rank: number,
  admitted: number,
): number {
  const floorOf = (ofRank: number): number =>
    ofRank === EXCESS_RANK ? 0 : admitted * FLOOR
  // What is left for the group once all of higher ranks are admitted and all of lower ranks
  // have their floor.
  let left = admitted
  let ownPart = 0
  for (const group of groups) {
    if (group.rank === rank) ownPart += group.part
    else left -= group.part * (group.rank > rank ? 1 : floorOf(group.rank))
  }
  if (ownPart <= 0) return 1
  return Math.min(1, Math.max(floorOf(rank), left / ownPart))
}

/**
 * Mean wait for prefill at one server from which the excess of a workspace is demoted, in
 * milliseconds. At 0.8 of capacity the waits stay below; at 100 ms, random differences between
 * equal workspaces changed most outcomes there.
 */
const CONTENDED_WAIT_MS = 600

/** What a decision is made from. */
export interface AdmissionInputs {
  readonly pressure: ServicePressure
  /** Part of all requests of the service that is admitted. */
  readonly admitted: number
  /** Chance of admission of requests within and beyond the share of their workspace. */
  readonly chance: number
  readonly excessChance: number
  /** Whether other recent requests are more urgent and none is less urgent. */
  readonly isLeastUrgent: boolean
  /** Part of the workspace's requests that is beyond its share, from 0 to 1. */
  readonly excess: number
  /** Priority of the route, zero for the most urgent. */
  readonly priority: number
}

export type AdmissionDecision =
  /** `demotion` is added to the urgency that engines are given. */
  | { readonly type: 'send'; readonly demotion: number; readonly isExcess: boolean }
  | {
      readonly type: 'refuse'
      readonly reason: 'shed' | 'over_share'
      readonly retryAfterMs: number
    }

/** Retry delay of the most urgent requests, in milliseconds, without the spread. */
const RETRY_AFTER_MS = 400

/** Longest retry delay without the spread, in milliseconds. */
const MAX_RETRY_AFTER_MS = 8_000

/**
 * Decides on one request. Retry delays grow with the refused part and with the priority's
 * number, and are spread over once their length.
 *
 * @example
 * decideAdmission({ pressure, admitted: 1, chance: 1, excessChance: 1, excess: 0, priority: 2 }, random)
 */
export function decideAdmission(
  inputs: AdmissionInputs,
  random: Random,
): AdmissionDecision {
  const { pressure, admitted, priority } = inputs
  const isExcess = random() < inputs.excess
  const chance = isExcess ? inputs.excessChance : inputs.chance
  if (chance < 1 && random() >= chance) {
    const baseMs = (RETRY_AFTER_MS * (1 + priority)) / admitted
    return {
      type: 'refuse',
      reason: isExcess ? 'over_share' : 'shed',
      retryAfterMs: Math.min(MAX_RETRY_AFTER_MS, baseMs) * (1 + random()),
    }
  }
  const isDemoted = isExcess
    ? pressure.meanWaitMs >= CONTENDED_WAIT_MS
    : inputs.isLeastUrgent && chance < 1
  return { type: 'send', demotion: isDemoted ? DEMOTION : 0, isExcess }
}
