/** Control traffic, processor time and platform calls of fleets of growing size. */
import { regressionLinear, regressionLog } from 'vega'
import { SAMPLE_SIZE, sampleConfig } from './sampleConfig.js'
import type {} from './vegaRegression.js'
import { VirtualFleet } from './virtualFleet.js'

export interface SlopePoint {
  readonly nodes: number
  readonly replicas: number
  /** Mean encoded bytes that a node sends per second; on average it receives as many. */
  readonly bytesPerSecond: number
  /** Encoded bytes per second of the node that sends most. */
  readonly mostBytesPerSecond: number
  readonly messagesPerSecond: number
  /**
   * Processor time of a node in milliseconds per second, including its share of the
   * simulated network and platform.
   */
  readonly cpuMsPerSecond: number
  /** Heap per node, in kilobytes. */
  readonly heapKb: number
  /** Calls to the platform per second, from all nodes together. */
  readonly platformCallsPerSecond: number
}

export interface SlopeOptions {
  readonly nodes: number
  readonly replicas: number
  readonly seed: number
  /** Number of nodes replaced during the measurement. */
  readonly replacements: number
  /** Number of configuration changes during the measurement. */
  readonly changes: number
  /** Whether the platform is unavailable during the measurement. */
  readonly outage: boolean
  /** Duration of the measurement. */
  readonly seconds: number
  /**
   * Time before the measurement, in which the traffic from the fleet's start subsides.
   */
  readonly warmUpSeconds: number
}

const MS_PER_SECOND = 1_000
const BYTES_PER_KB = 1_024

/** Measures a fleet of one size. */
export function measureFleet(opts: SlopeOptions): SlopePoint {
  const heapBefore = heapBytes()
  const fleet = VirtualFleet.create({ ...opts, config: sampleConfig(SAMPLE_SIZE) })
  const warmUpMs = opts.warmUpSeconds * MS_PER_SECOND
  fleet.events.runUntil(warmUpMs)
  const heapKb = (heapBytes() - heapBefore) / BYTES_PER_KB / opts.nodes
  scheduleEvents(fleet, opts)
  const before = readCounters(fleet)
  const bytesBefore = new Map(fleet.nodes.map((node) => [node, node.sentBytes]))
  const cpuBefore = process.cpuUsage()
  fleet.events.runUntil(warmUpMs + opts.seconds * MS_PER_SECOND)
  const cpu = process.cpuUsage(cpuBefore)
  const after = readCounters(fleet)
  const perNode = opts.nodes * opts.seconds
  const sent = fleet.nodes.map((node) => node.sentBytes - (bytesBefore.get(node) ?? 0))
  return {
    nodes: opts.nodes,
    replicas: opts.replicas,
    bytesPerSecond: (after.bytes - before.bytes) / perNode,
    mostBytesPerSecond: Math.max(...sent) / opts.seconds,
    messagesPerSecond: (after.messages - before.messages) / perNode,
    cpuMsPerSecond: (cpu.user + cpu.system) / MS_PER_SECOND / perNode,
    heapKb,
    platformCallsPerSecond: (after.calls - before.calls) / opts.seconds,
  }
}

/**
 * A fit that is linear in the number of nodes or in its logarithm, with one
 * extrapolation.
 */
export interface Fit {
  readonly kind: 'linear' | 'logarithmic'
  readonly rSquared: number
  /** Largest absolute difference between a point and the fit. */
  readonly residual: number
  /** Value of the fit at the extrapolated number of nodes. */
  readonly predicted: number
}

/** Fits both kinds and extrapolates each to `extrapolatedNodes`. */
export function fitSlopes(
  points: readonly SlopePoint[],
  figureOf: (point: SlopePoint) => number,
  extrapolatedNodes: number,
): Fit[] {
  const nodeCount = ({ nodes }: SlopePoint): number => nodes
  const fits = [
    { kind: 'linear' as const, fit: regressionLinear(points, nodeCount, figureOf) },
    { kind: 'logarithmic' as const, fit: regressionLog(points, nodeCount, figureOf) },
  ]
  return fits.map(({ kind, fit }) => ({
    kind,
    rSquared: fit.rSquared,
    residual: Math.max(
      ...points.map((p) => Math.abs(figureOf(p) - fit.predict(p.nodes))),
    ),
    predicted: fit.predict(extrapolatedNodes),
  }))
}

function scheduleEvents(fleet: VirtualFleet, opts: SlopeOptions): void {
  if (opts.outage) fleet.platform.isUnavailable = true
  const changeIntervalMs = (opts.seconds * MS_PER_SECOND) / (opts.changes + 1)
  for (let i = 1; i <= opts.changes; i++) {
    fleet.events.after(i * changeIntervalMs, () =>
      fleet.platform.store(sampleConfig(SAMPLE_SIZE, i)),
    )
  }
  const replacementIntervalMs = (opts.seconds * MS_PER_SECOND) / (opts.replacements + 1)
  for (let i = 1; i <= opts.replacements; i++) {
    fleet.events.after(i * replacementIntervalMs, () => {
      replaceOldest(fleet)
    })
  }
}

function replaceOldest(fleet: VirtualFleet): void {
  const [oldest] = fleet.nodes
  if (oldest) fleet.kill(oldest)
  fleet.startNode()
  fleet.publishList()
}

function readCounters(fleet: VirtualFleet): {
  bytes: number
  messages: number
  calls: number
} {
  const { watch, instances } = fleet.platform.calls
  return {
    bytes: fleet.sentBytes,
    messages: fleet.sentMessages,
    calls: watch + instances,
  }
}

/** Heap in use, after a garbage collection if the process exposes it. */
function heapBytes(): number {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}
