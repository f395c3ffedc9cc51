/** One change of the configuration while something fails. */
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
  /** @default 0 */
  readonly loss?: number
}

export interface SpreadTrial {
  readonly fault: SpreadFault
  readonly seed: number
  /** From the write until so many listed members hold it that it counts as accepted. */
  readonly acceptedMs: number
  /** From the write until every node that runs unharmed holds it. */
  readonly heldMs: number
  /** From the write until no node takes a request with an older revision. */
  readonly lastOldFromStoreMs: number
  /** From acceptance until no node takes a request with an older revision. */
  readonly lastOldMs: number
  /** Nodes that went back to an older revision. */
  readonly reverted: number
  /** Nodes, harmed ones included, that hold the newest revision in the end. */
  readonly caughtUp: number
  readonly running: number
  /** Node-seconds in which an unharmed node refused although the platform stood. */
  readonly refusedSeconds: number
}

const WARM_UP_MS = 15_000
const STEP_MS = 50
const AFTER_MS = 60_000

/** Time by which a fault lasts at most longer than 3 s, in milliseconds. */
const LONGEST_FAULT_MS = 12_000
const LONGEST_OUTAGE_MS = 40_000

/** Share of the nodes that a fault harms. */
const HARMED_SHARE = 0.15

/** Runs one trial; the fault begins from 3 s before the write to 1 s after it. */
export function spreadTrial(opts: SpreadTrialOptions): SpreadTrial {
  const fleet = VirtualFleet.create({
    nodes: opts.nodes,
    seed: opts.seed,
    config: sampleConfig(SAMPLE_SIZE),
  })
  fleet.loss = opts.loss ?? 0
  const storedAtMs = WARM_UP_MS + 5_000 + fleet.random() * 2_000
  const faultAtMs = storedAtMs + (fleet.random() * 4 - 3) * 1_000
  const longestMs = isOutage(opts.fault) ? LONGEST_OUTAGE_MS : LONGEST_FAULT_MS
  const durationMs = 3_000 + fleet.random() * longestMs
  const harmed = new Set<VirtualNode>()
  fleet.events.after(faultAtMs - fleet.events.now(), () => {
    begin(fleet, opts.fault, durationMs, harmed)
  })
  fleet.events.after(faultAtMs + durationMs - fleet.events.now(), () => {
    end(fleet)
  })
  if (opts.fault === 'startInOutage') startLate(fleet, faultAtMs + durationMs / 2)
  // A write is not accepted while the platform is away.
  const outageAtMs = isOutage(opts.fault) ? faultAtMs : Number.POSITIVE_INFINITY
  const writeAtMs =
    storedAtMs >= outageAtMs && storedAtMs < outageAtMs + durationMs
      ? outageAtMs + durationMs
      : storedAtMs
  fleet.events.after(writeAtMs - fleet.events.now(), () =>
    fleet.platform.store(sampleConfig(SAMPLE_SIZE, 1)),
  )
  return observe(fleet, opts, writeAtMs, harmed)
}

function isOutage(fault: SpreadFault): boolean {
  return fault === 'platformOutage' || fault === 'startInOutage'
}

function observe(
  fleet: VirtualFleet,
  { fault, seed }: SpreadTrialOptions,
  writeAtMs: number,
  harmed: ReadonlySet<VirtualNode>,
): SpreadTrial {
  fleet.events.runUntil(writeAtMs)
  const { revision } = fleet.platform
  const before = new Map<VirtualNode, number>()
  let acceptedMs = Number.POSITIVE_INFINITY
  let heldMs = Number.POSITIVE_INFINITY
  let lastOldMs = 0
  let reverted = 0
  let refusedSteps = 0
  for (let ms = STEP_MS; ms <= AFTER_MS; ms += STEP_MS) {
    fleet.events.runUntil(writeAtMs + ms)
    const { nodes } = fleet
    const holders = nodes.filter((n) => n.exchange.config.revision >= revision)
    if (holders.length >= nodes.length * ACCEPTED_SHARE) {
      acceptedMs = Math.min(acceptedMs, ms)
    }
    const unharmed = nodes.filter((node) => !harmed.has(node))
    if (unharmed.every((n) => n.exchange.config.revision >= revision)) {
      heldMs = Math.min(heldMs, ms)
    }
    if (nodes.some((node) => node.servesOlderThan(revision))) lastOldMs = ms
    for (const node of nodes) {
      const now = node.exchange.config.revision
      if (now < (before.get(node) ?? 0)) reverted += 1
      before.set(node, now)
    }
    refusedSteps += unharmed.filter((n) => n.isRunning && isRefusing(n)).length
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

function isRefusing(node: VirtualNode): boolean {
  return !node.exchange.config.isFresh
}

function begin(
  fleet: VirtualFleet,
  fault: SpreadFault,
  durationMs: number,
  harmed: Set<VirtualNode>,
): void {
  const victims = chooseVictims(fleet, fault)
  if (isOutage(fault)) fleet.platform.isAway = true
  if (fault.startsWith('region')) fleet.areRegionsApart = true
  if (fault === 'none' || isOutage(fault) || fault === 'regionsApart') return
  for (const node of victims) {
    harmed.add(node)
    harm(fleet, fault, node, durationMs)
  }
}

const CUTS_FROM_PLATFORM: ReadonlySet<SpreadFault> = new Set([
  'cutFromPlatform',
  'cutFromBoth',
  'regionCut',
  'outageForMost',
])

function harm(
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

/** A region, or every watcher of one zone and then others at random. */
function chooseVictims(fleet: VirtualFleet, fault: SpreadFault): VirtualNode[] {
  if (fault === 'regionCut') {
    return fleet.nodes.filter(({ identity }) => identity.region === 'r2')
  }
  const share = fault === 'outageForMost' ? 1 - HARMED_SHARE : HARMED_SHARE
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

function end(fleet: VirtualFleet): void {
  fleet.platform.isAway = false
  fleet.areRegionsApart = false
  fleet.cutFromPeers.clear()
  fleet.cutFromPlatform.clear()
}

/** Starts a node that knows one peer only. */
function startLate(fleet: VirtualFleet, atMs: number): void {
  fleet.events.after(atMs - fleet.events.now(), () => {
    const [peer] = fleet.nodes
    fleet.startNode(peer ? [peer.identity.address] : [])
  })
}
