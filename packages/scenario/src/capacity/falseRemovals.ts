/**
 * Counts live nodes that others wrongly suspect or remove, under message loss and
 * freezes.
 */
import { MemberStatus } from '@wagtailway/core'
import { SAMPLE_SIZE, sampleConfig } from './sampleConfig.js'
import { VirtualFleet } from './virtualFleet.js'
import type { VirtualNode } from './virtualNode.js'

export interface FalseRemovalOptions {
  readonly nodes: number
  readonly hours: number
  readonly seed: number
  readonly loss: number
  /** Mean number of freezes of each node per hour. */
  readonly freezesPerHour: number
  readonly freezeMs: number
}

export interface FalseRemovals {
  readonly nodeDays: number
  readonly freezes: number
  /** Number of times that a running or frozen node became suspected by any other node. */
  readonly suspicions: number
  /** The suspicions of nodes that weren't frozen then or in the 20 s before. */
  readonly suspicionsUnfrozen: number
  /**
   * Number of times that a node was removed by any other node although it was never
   * killed.
   */
  readonly removals: number
  /**
   * Share of pairs of running nodes, over time, in which one didn't list the other as
   * alive.
   */
  readonly notAliveShare: number
}

const MS_PER_HOUR = 3_600_000
const HOURS_PER_DAY = 24
const WARM_UP_MS = 30_000
const STEP_MS = 1_000
/** Time after a freeze in which a suspicion is attributed to it, in milliseconds. */
const FREEZE_RECOVERY_MS = 20_000

/** Runs a fleet in which no node is killed, so that every removal is a false one. */
export function falseRemovals(opts: FalseRemovalOptions): FalseRemovals {
  const fleet = VirtualFleet.create({ ...opts, config: sampleConfig(SAMPLE_SIZE) })
  fleet.events.runUntil(WARM_UP_MS)
  fleet.loss = opts.loss
  const freezes = scheduleFreezes(fleet, opts)
  const worstStatuses = new Map<string, number>()
  const counts = { suspicions: 0, suspicionsUnfrozen: 0, removals: 0 }
  let pairs = 0
  let notAlive = 0
  const endMs = WARM_UP_MS + opts.hours * MS_PER_HOUR
  for (let atMs = WARM_UP_MS; atMs < endMs; atMs += STEP_MS) {
    fleet.events.runUntil(atMs)
    for (const node of fleet.nodes) recordWorstStatus(fleet, node, worstStatuses, counts)
    const { running } = fleet
    pairs += running.length * (running.length - 1)
    notAlive += running.reduce((sum, node) => sum + countNotAlive(node, running), 0)
  }
  return {
    nodeDays: (opts.nodes * opts.hours) / HOURS_PER_DAY,
    freezes: freezes.count,
    ...counts,
    notAliveShare: notAlive / pairs,
  }
}

function scheduleFreezes(
  fleet: VirtualFleet,
  { freezesPerHour, freezeMs }: FalseRemovalOptions,
): { count: number } {
  const freezes = { count: 0 }
  if (freezesPerHour <= 0) return freezes
  for (const node of fleet.nodes) {
    const scheduleNext = (): void => {
      const pauseMs = (-Math.log(1 - fleet.random()) * MS_PER_HOUR) / freezesPerHour
      fleet.events.after(pauseMs, () => {
        freezes.count += 1
        fleet.freeze(node, freezeMs)
        scheduleNext()
      })
    }
    scheduleNext()
  }
  return freezes
}

/** Counts a node if its worst status at any running node has become worse. */
function recordWorstStatus(
  fleet: VirtualFleet,
  node: VirtualNode,
  worstStatuses: Map<string, number>,
  counts: { suspicions: number; suspicionsUnfrozen: number; removals: number },
): void {
  const nodeName = node.identity.node
  const worst = fleet.running.reduce(
    (worstSoFar, other) =>
      Math.max(worstSoFar, other.exchange.members.statusOf(nodeName) ?? 0),
    0,
  )
  const previousWorst = worstStatuses.get(nodeName) ?? 0
  worstStatuses.set(nodeName, worst)
  if (worst <= previousWorst) return
  if (worst === MemberStatus.removed) counts.removals += 1
  if (previousWorst !== MemberStatus.alive) return
  counts.suspicions += 1
  const thawedForMs = fleet.events.now() - node.frozenUntilMs
  if (thawedForMs > FREEZE_RECOVERY_MS) counts.suspicionsUnfrozen += 1
}

/** Number of other running nodes that this node doesn't list as alive. */
function countNotAlive(node: VirtualNode, running: readonly VirtualNode[]): number {
  const alive = new Set(node.exchange.members.alive().map((member) => member.node))
  return running.filter((other) => other !== node && !alive.has(other.identity.node))
    .length
}
