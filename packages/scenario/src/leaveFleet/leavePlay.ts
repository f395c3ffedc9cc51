/** Random plays of errors, planned stops, cuts and lost reports on a fleet, by a seed. */
import { seededRandom, type Random } from '@wagtailway/core'
import { longestReportIntervalMs } from '@wagtailway/gateway'
import { LeaveFleet, type LeaveFleetResult } from './leaveFleet.js'
import type { LeavePolicy } from './leavePolicies.js'

/** How errors come: at all within a second, again after each start, or one a second. */
export const ERROR_PATTERNS = ['all at once', 'at each start', 'one a second'] as const
export type ErrorPattern = (typeof ERROR_PATTERNS)[number]

/**
 * What becomes of the reports: a share is lost, or the network is cut. `tenth`, `third`, `most` and
 * `all` are shares that are lost; `alone` cuts off one instance in eight, each alone.
 */
export const NETWORKS = [
  'whole',
  'tenth',
  'third',
  'most',
  'all',
  'alone',
  'halves',
] as const
export type Network = (typeof NETWORKS)[number]

export interface LeavePlay {
  readonly seed: number
  readonly instances: number
  readonly errors: ErrorPattern
  readonly network: Network
  readonly hasRollout: boolean
}

/** Time of the first error, and for how long a cause that comes back lasts, in ms. */
const ERROR_AT_MS = 20_000
const ONE_A_SECOND_MS = 60_000
const EACH_START_MS = 900_000

/** End of a play in which somebody still waits, in milliseconds. */
const MAX_PLAY_MS = 1_600_000

/** Bounds of the begin and of the length of a cut, in milliseconds. */
const CUT_FROM_MS = 5_000
const CUT_SPREAD_MS = 25_000
const MIN_CUT_MS = 20_000
const MAX_CUT_MS = 200_000

/** Planned stops: one instance in this number at a time, every so many milliseconds. */
const ROLLOUT_DIVISOR = 20
const ROLLOUT_STEP_MS = 25_000

const LOSSES: Partial<Record<Network, number>> = {
  tenth: 0.1,
  third: 1 / 3,
  most: 0.7,
  all: 1,
}

/**
 * The play of a seed: each pattern of errors, network and roll-out comes up in turn.
 *
 * @example
 * const { minReady } = runPlay(playOf(17, 8), permission)
 */
export function playOf(seed: number, instances: number): LeavePlay {
  const errors = ERROR_PATTERNS[seed % ERROR_PATTERNS.length] ?? 'all at once'
  const networkNumber = Math.floor(seed / ERROR_PATTERNS.length)
  const network = NETWORKS[networkNumber % NETWORKS.length] ?? 'whole'
  const round = Math.floor(networkNumber / NETWORKS.length)
  return { seed, instances, errors, network, hasRollout: round % 2 === 1 }
}

export function runPlay(play: LeavePlay, policy: LeavePolicy): LeaveFleetResult {
  const { seed, instances, errors, network, hasRollout } = play
  const fleet = LeaveFleet.create({
    seed,
    instances,
    policy,
    clockErrorMs: 1_000,
    loss: LOSSES[network] ?? 0,
    errorAtEachStart: errors === 'at each start',
    minPlannedAgeMs: network === 'whole' ? 0 : unnoticedMs(instances),
  })
  // Apart from the fleet's own numbers, so that all policies get the same play.
  const random = seededRandom(seed + 1)
  scheduleErrors(fleet, play, random)
  scheduleCut(fleet, play, random)
  if (hasRollout) scheduleRollout(fleet, play, random)
  if (errors === 'at each start') return fleet.run(EACH_START_MS)
  return fleet.run(MAX_PLAY_MS, () => fleet.nowMs > ERROR_AT_MS && fleet.isCalm)
}

/**
 * Time after a planned stop in which an instance that has not heard of it may leave without
 * the others noticing, if reports are lost: two silences.
 */
export function unnoticedMs(instances: number): number {
  return 2 * Math.max(4_500, 3 * longestReportIntervalMs(instances - 1))
}

function scheduleErrors(fleet: LeaveFleet, play: LeavePlay, random: Random): void {
  const { errors, instances } = play
  const failAt = (atMs: number, index: number): void => {
    fleet.at(atMs, () => {
      fleet.fail(index)
    })
  }
  if (errors === 'one a second') {
    for (let passedMs = 0; passedMs < ONE_A_SECOND_MS; passedMs += 1_000)
      failAt(ERROR_AT_MS + passedMs, Math.floor(random() * instances))
    return
  }
  for (let i = 0; i < instances; i += 1) failAt(ERROR_AT_MS + 1_000 * random(), i)
}

function scheduleCut(fleet: LeaveFleet, play: LeavePlay, random: Random): void {
  const { network, instances } = play
  if (network !== 'alone' && network !== 'halves') return
  const indexes = Array.from({ length: instances }, (_, i) => i)
    .map((i) => ({ i, order: random() }))
    .toSorted((a, b) => a.order - b.order)
    .map(({ i }) => i)
  const count = Math.ceil(instances / (network === 'halves' ? 2 : 8))
  const cut = indexes.slice(0, count)
  const fromMs = CUT_FROM_MS + CUT_SPREAD_MS * random()
  const untilMs = fromMs + MIN_CUT_MS + (MAX_CUT_MS - MIN_CUT_MS) * random()
  const setGroups = (groupOf: (position: number) => number): void => {
    for (const [position, index] of cut.entries())
      fleet.setGroup(index, groupOf(position))
  }
  fleet.at(fromMs, () => {
    setGroups((position) => (network === 'halves' ? 1 : position + 1))
  })
  fleet.at(untilMs, () => {
    setGroups(() => 0)
  })
}

function scheduleRollout(fleet: LeaveFleet, play: LeavePlay, random: Random): void {
  const { instances } = play
  const groupSize = Math.max(1, Math.floor(instances / ROLLOUT_DIVISOR))
  let atMs = 30_000 * random()
  for (let first = 0; first < instances; first += groupSize) {
    for (let i = first; i < first + groupSize; i += 1)
      fleet.at(atMs, () => {
        fleet.stop(i)
      })
    atMs += ROLLOUT_STEP_MS
  }
}
