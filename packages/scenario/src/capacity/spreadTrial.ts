/** Simulates the propagation of one configuration change during a fault. */
import { ACCEPTED_SHARE } from '@wagtailway/core'
import { SAMPLE_SIZE, sampleConfig } from './sampleConfig.js'
import { VirtualFleet } from './virtualFleet.js'
import type { VirtualNode } from './virtualNode.js'

export const SPREAD_FAULTS = [
  'none',
  'kill',
  'freeze',
  'cutFromPeers',
  'cutFromPlatform',
  'cutFromBoth',
  'regionsApart',
  'regionCut',
  'platformOutage',
  'startInOutage',
  'outageForMost',
] as const

export type SpreadFault = (typeof SPREAD_FAULTS)[number]

export interface SpreadTrialOptions {
  readonly nodes: number
  readonly fault: SpreadFault
  readonly seed: number
  /**
   * Fraction of messages that are lost.
   * @default 0
   */
  readonly loss?: number
}

export interface SpreadTrial {
  readonly fault: SpreadFault
  readonly seed: number
  /**
   * From the write until enough members hold the revision for it to count as accepted.
   */
  readonly acceptedMs: number
  /** From the write until every node that the fault doesn't affect holds the revision. */
  readonly heldMs: number
  /** From the write until no node accepts requests with an older revision. */
  readonly lastOldFromStoreMs: number
  /** From acceptance until no node accepts requests with an older revision. */
  readonly lastOldMs: number
  /** Number of times that a node reverted to an older revision. */
  readonly reverted: number
  /** Running nodes, affected ones included, that hold the newest revision at the end. */
  readonly caughtUp: number
  readonly running: number
  /**
   * Node-seconds in which running nodes not affected by the fault had a stale
   * configuration.
   */
  readonly refusedSeconds: number
}

const WARM_UP_MS = 15_000
const STEP_MS = 50
const OBSERVATION_MS = 60_000

/** Maximum time by which a fault or an outage lasts longer than 3 s, in milliseconds. */
const MAX_EXTRA_FAULT_MS = 12_000
const MAX_EXTRA_OUTAGE_MS = 40_000

/**
 * Share of the nodes that a fault affects; in `outageForMost` the share that it spares.
 */
const AFFECTED_SHARE = 0.15

/**
 * Runs one trial; the fault starts between 3 s before the planned write and 1 s after
 * it.
 */
export function spreadTrial(opts: SpreadTrialOptions): SpreadTrial {
  const fleet = VirtualFleet.create({
    nodes: opts.nodes,
    seed: opts.seed,
    config: sampleConfig(SAMPLE_SIZE),
  })
  fleet.loss = opts.loss ?? 0
  const storedAtMs = WARM_UP_MS + 5_000 + fleet.random() * 2_000
  const faultAtMs = storedAtMs + (fleet.random() * 4 - 3) * 1_000
  const maxExtraMs = isOutage(opts.fault) ? MAX_EXTRA_OUTAGE_MS : MAX_EXTRA_FAULT_MS
  const durationMs = 3_000 + fleet.random() * maxExtraMs
  const affected = new Set<VirtualNode>()
  fleet.events.after(faultAtMs - fleet.events.now(), () => {
    startFault(fleet, opts.fault, durationMs, affected)
  })
  fleet.events.after(faultAtMs + durationMs - fleet.events.now(), () => {
    endFaults(fleet)
  })
  if (opts.fault === 'startInOutage') scheduleLateStart(fleet, faultAtMs + durationMs / 2)
  // The platform accepts no write during its outage, so the write waits until the end.
  const outageAtMs = isOutage(opts.fault) ? faultAtMs : Number.POSITIVE_INFINITY
  const writeAtMs =
    storedAtMs >= outageAtMs && storedAtMs < outageAtMs + durationMs
      ? outageAtMs + durationMs
      : storedAtMs
  fleet.events.after(writeAtMs - fleet.events.now(), () =>
    fleet.platform.store(sampleConfig(SAMPLE_SIZE, 1)),
  )
  return observe(fleet, opts, writeAtMs, affected)
}

function isOutage(fault: SpreadFault): boolean {
  return fault === 'platformOutage' || fault === 'startInOutage'
}

function observe(
  fleet: VirtualFleet,
  { fault, seed }: SpreadTrialOptions,
  writeAtMs: number,
  affected: ReadonlySet<VirtualNode>,
): SpreadTrial {
  fleet.events.runUntil(writeAtMs)
  const { revision } = fleet.platform
  const lastRevisions = new Map<VirtualNode, number>()
  let acceptedMs = Number.POSITIVE_INFINITY
  let heldMs = Number.POSITIVE_INFINITY
  let lastOldMs = 0
  let reverted = 0
  let refusedSteps = 0
  for (let ms = STEP_MS; ms <= OBSERVATION_MS; ms += STEP_MS) {
    fleet.events.runUntil(writeAtMs + ms)
    const { nodes } = fleet
    const holders = nodes.filter((n) => n.exchange.config.revision >= revision)
    if (holders.length >= nodes.length * ACCEPTED_SHARE) {
      acceptedMs = Math.min(acceptedMs, ms)
    }
    const unaffected = nodes.filter((node) => !affected.has(node))
    if (unaffected.every((n) => n.exchange.config.revision >= revision)) {
      heldMs = Math.min(heldMs, ms)
    }
    if (nodes.some((node) => node.servesOlderThan(revision))) lastOldMs = ms
    for (const node of nodes) {
      const currentRevision = node.exchange.config.revision
      if (currentRevision < (lastRevisions.get(node) ?? 0)) reverted += 1
      lastRevisions.set(node, currentRevision)
    }
    refusedSteps += unaffected.filter((n) => n.isRunning && isStale(n)).length
  }
  return {
    fault,
    seed,
    acceptedMs,
    heldMs,
    lastOldFromStoreMs: lastOldMs,
    lastOldMs: Math.max(0, lastOldMs - acceptedMs),
    reverted,
    caughtUp: fleet.running.filter((n) => n.exchange.config.revision >= revision).length,
    running: fleet.running.length,
    refusedSeconds: (refusedSteps * STEP_MS) / 1_000,
  }
}

function isStale(node: VirtualNode): boolean {
  return !node.exchange.config.isFresh
}

function startFault(
  fleet: VirtualFleet,
  fault: SpreadFault,
  durationMs: number,
  affected: Set<VirtualNode>,
): void {
  const victims = selectVictims(fleet, fault)
  if (isOutage(fault)) fleet.platform.isUnavailable = true
  if (fault.startsWith('region')) fleet.areRegionsPartitioned = true
  if (fault === 'none' || isOutage(fault) || fault === 'regionsApart') return
  for (const node of victims) {
    affected.add(node)
    injectFault(fleet, fault, node, durationMs)
  }
}

const CUTS_FROM_PLATFORM: ReadonlySet<SpreadFault> = new Set([
  'cutFromPlatform',
  'cutFromBoth',
  'regionCut',
  'outageForMost',
])

function injectFault(
  fleet: VirtualFleet,
  fault: SpreadFault,
  node: VirtualNode,
  durationMs: number,
): void {
  if (fault === 'kill') fleet.kill(node)
  if (fault === 'freeze') fleet.freeze(node, durationMs)
  if (fault === 'cutFromPeers' || fault === 'cutFromBoth') fleet.cutFromPeers.add(node)
  if (CUTS_FROM_PLATFORM.has(fault)) fleet.cutFromPlatform.add(node)
}

/**
 * Selects a whole region, or the watchers of one zone first and then random other
 * nodes.
 */
function selectVictims(fleet: VirtualFleet, fault: SpreadFault): VirtualNode[] {
  if (fault === 'regionCut') {
    return fleet.nodes.filter(({ identity }) => identity.region === 'r2')
  }
  const share = fault === 'outageForMost' ? 1 - AFFECTED_SHARE : AFFECTED_SHARE
  const count = Math.max(1, Math.round(fleet.nodes.length * share))
  const watchers = fleet.nodes.filter(
    ({ identity, exchange }) => identity.zone === 'r1-z1' && exchange.isWatcher,
  )
  const others = fleet.nodes
    .filter((node) => !watchers.includes(node))
    .map((node) => ({ node, order: fleet.random() }))
    .sort((a, b) => a.order - b.order)
    .map(({ node }) => node)
  return [...watchers, ...others].slice(0, count)
}

function endFaults(fleet: VirtualFleet): void {
  fleet.platform.isUnavailable = false
  fleet.areRegionsPartitioned = false
  fleet.cutFromPeers.clear()
  fleet.cutFromPlatform.clear()
}

/** Schedules the start of a node that knows only one peer. */
function scheduleLateStart(fleet: VirtualFleet, atMs: number): void {
  fleet.events.after(atMs - fleet.events.now(), () => {
    const [peer] = fleet.nodes
    fleet.startNode(peer ? [peer.identity.address] : [])
  })
}
