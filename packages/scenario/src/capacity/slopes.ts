/** Control traffic, processor time and platform calls of fleets of growing size. */
import { regressionLinear, regressionLog } from 'vega'
import { SAMPLE_SIZE, sampleConfig } from './sampleConfig.js'
import type {} from './vegaRegression.js'
import { VirtualFleet } from './virtualFleet.js'

export interface SlopePoint {
  readonly nodes: number
  readonly replicas: number
  /** Encoded bytes that a node sends a second; it receives as many. */
  readonly bytesPerSecond: number
  /** The same for the node that sends most. */
  readonly mostBytesPerSecond: number
  readonly messagesPerSecond: number
  /** Processor time of a node, the fakes around it included, in milliseconds a second. */
  readonly cpuMsPerSecond: number
  /** Heap of a node, in kilobytes. */
  readonly heapKb: number
  /** Calls to the platform of all nodes, a second. */
  readonly platformCallsPerSecond: number
}

export interface SlopeOptions {
  readonly nodes: number
  readonly replicas: number
  readonly seed: number
  /** Replacements of nodes in the measured time. */
  readonly replacements: number
  /** Changes of the configuration in the measured time. */
  readonly changes: number
  /** Whether the platform is away in the measured time. */
  readonly outage: boolean
  readonly seconds: number
  /** Time for the fleet's start to die down before the measurement. */
  readonly warmUpSeconds: number
}

const MS_PER_SECOND = 1_000
const BYTES_PER_KB = 1_024

/** Measures one size. */
export function measureSlope(opts: SlopeOptions): SlopePoint {
  const heapBefore = heapBytes()
  const fleet = VirtualFleet.create({ ...opts, config: sampleConfig(SAMPLE_SIZE) })
  const warmUpMs = opts.warmUpSeconds * MS_PER_SECOND
  fleet.events.runUntil(warmUpMs)
  const heapKb = (heapBytes() - heapBefore) / BYTES_PER_KB / opts.nodes
  schedule(fleet, opts)
  const before = count(fleet)
  const bytesBefore = new Map(fleet.nodes.map((node) => [node, node.sentBytes]))
  const cpuBefore = process.cpuUsage()
  fleet.events.runUntil(warmUpMs + opts.seconds * MS_PER_SECOND)
  const cpu = process.cpuUsage(cpuBefore)
  const after = count(fleet)
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

/** A straight line, or one in the logarithm of x, with what it says of `at`. */
export interface Fit {
  readonly kind: 'linear' | 'logarithmic'
  readonly rSquared: number
  /** Largest distance between a point and the fit. */
  readonly residual: number
  readonly predicted: number
}

/** Fits both shapes and extrapolates. */
export function fitSlopes(
  points: readonly SlopePoint[],
  of: (point: SlopePoint) => number,
  at: number,
): Fit[] {
  const x = ({ nodes }: SlopePoint): number => nodes
  const fits = [
    { kind: 'linear' as const, fit: regressionLinear(points, x, of) },
    { kind: 'logarithmic' as const, fit: regressionLog(points, x, of) },
  ]
  return fits.map(({ kind, fit }) => ({
    kind,
    rSquared: fit.rSquared,
    residual: Math.max(...points.map((p) => Math.abs(of(p) - fit.predict(p.nodes)))),
    predicted: fit.predict(at),
  }))
}

function schedule(fleet: VirtualFleet, opts: SlopeOptions): void {
  if (opts.outage) fleet.platform.isAway = true
  const spacing = (opts.seconds * MS_PER_SECOND) / (opts.changes + 1)
  for (let i = 1; i <= opts.changes; i++) {
    fleet.events.after(i * spacing, () =>
      fleet.platform.store(sampleConfig(SAMPLE_SIZE, i)),
    )
  }
  const pause = (opts.seconds * MS_PER_SECOND) / (opts.replacements + 1)
  for (let i = 1; i <= opts.replacements; i++) {
    fleet.events.after(i * pause, () => {
      replaceOne(fleet)
    })
  }
}

function replaceOne(fleet: VirtualFleet): void {
  const [oldest] = fleet.nodes
  if (oldest) fleet.kill(oldest)
  fleet.startNode()
  fleet.publishList()
}

function count(fleet: VirtualFleet): { bytes: number; messages: number; calls: number } {
  const { watch, instances } = fleet.platform.calls
  return {
    bytes: fleet.sentBytes,
    messages: fleet.sentMessages,
    calls: watch + instances,
  }
}

/** Heap in use, after a collection if the process allows one. */
function heapBytes(): number {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}
