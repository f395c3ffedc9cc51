/** Live nodes that the others wrongly suspect or remove, under loss and freezes. */
import { MemberStatus } from '@wagtailway/core'
import { SAMPLE_SIZE, sampleConfig } from './sampleConfig.js'
import { VirtualFleet } from './virtualFleet.js'
import type { VirtualNode } from './virtualNode.js'

export interface FalseRemovalOptions {
  readonly nodes: number
  readonly hours: number
  readonly seed: number
  readonly loss: number
  /** Freezes of each node in an hour. */
  readonly freezesPerHour: number
  readonly freezeMs: number
}

export interface FalseRemovals {
  readonly nodeDays: number
  readonly freezes: number
  /** Times that a node was suspected by anybody while it ran or was frozen. */
  readonly suspicions: number
  /** Of these, times that the node was not frozen then or in the 20 s before. */
  readonly suspicionsUnfrozen: number
  /** Times that a node was removed by anybody though it had not ended. */
  readonly removals: number
  /** Share of node pairs in which a running node was not alive to another. */
  readonly notAliveShare: number
}

const MS_PER_HOUR = 3_600_000
const HOURS_PER_DAY = 24
const WARM_UP_MS = 30_000
const STEP_MS = 1_000
const AFTER_FREEZE_MS = 20_000

/** Runs a fleet without ends of nodes; every removal is a false one. */
export function falseRemovals(opts: FalseRemovalOptions): FalseRemovals {
  const fleet = VirtualFleet.create({ ...opts, config: sampleConfig(SAMPLE_SIZE) })
  fleet.events.runUntil(WARM_UP_MS)
  fleet.loss = opts.loss
  const freezes = scheduleFreezes(fleet, opts)
  const standings = new Map<string, number>()
  const counts = { suspicions: 0, suspicionsUnfrozen: 0, removals: 0 }
  let pairs = 0
  let notAlive = 0
  const endMs = WARM_UP_MS + opts.hours * MS_PER_HOUR
  for (let atMs = WARM_UP_MS; atMs < endMs; atMs += STEP_MS) {
    fleet.events.runUntil(atMs)
    for (const node of fleet.nodes) noteStanding(fleet, node, standings, counts)
    const { running } = fleet
    pairs += running.length * (running.length - 1)
    notAlive += running.reduce((sum, node) => sum + lacking(node, running), 0)
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
    const next = (): void => {
      const pauseMs = (-Math.log(1 - fleet.random()) * MS_PER_HOUR) / freezesPerHour
      fleet.events.after(pauseMs, () => {
        freezes.count += 1
        fleet.freeze(node, freezeMs)
        next()
      })
    }
    next()
  }
  return freezes
}

/** Counts a node whose worst standing at any running node has become worse. */
function noteStanding(
  fleet: VirtualFleet,
  node: VirtualNode,
  standings: Map<string, number>,
  counts: { suspicions: number; suspicionsUnfrozen: number; removals: number },
): void {
  const name = node.identity.node
  const worst = fleet.running.reduce(
    (so, other) => Math.max(so, other.exchange.members.statusOf(name) ?? 0),
    0,
  )
  const before = standings.get(name) ?? 0
  standings.set(name, worst)
  if (worst <= before) return
  if (worst === MemberStatus.removed) counts.removals += 1
  if (before !== MemberStatus.alive) return
  counts.suspicions += 1
  const thawedForMs = fleet.events.now() - node.frozenUntilMs
  if (thawedForMs > AFTER_FREEZE_MS) counts.suspicionsUnfrozen += 1
}

/** Running nodes that are not alive to this one. */
function lacking(node: VirtualNode, running: readonly VirtualNode[]): number {
  const alive = new Set(node.exchange.members.alive().map((member) => member.node))
  return running.filter((other) => other !== node && !alive.has(other.identity.node))
    .length
}
