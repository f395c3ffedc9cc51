/** What real routers spend on each other while no caller comes. */
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { Deployment } from '../harness/deployment.js'
import { fetchText, metricOf } from './routerMetrics.js'

export interface IdleOptions {
  readonly routers: number
  readonly seconds: number
  readonly seed: number
}

export interface IdleCost {
  readonly routers: number
  /** Processor time of a router, in milliseconds a second. */
  readonly cpuMsPerSecond: number
  /** Resident memory of a router, in megabytes. */
  readonly residentMb: number
  /** Encoded bytes that a router sends to others, a second. */
  readonly controlBytesPerSecond: number
  /** Calls to the platform of a router, a second, billing flushes included. */
  readonly platformCallsPerSecond: number
}

const SETTLE_MS = 30_000
const BYTES_PER_MB = 1_048_576
const MS_PER_SECOND = 1_000

const DECLARATIONS = fileURLToPath(
  new URL('../../../../playground/haneul', import.meta.url),
)

const COUNTERS = {
  cpu: 'process_cpu_seconds_total',
  bytes: 'wagtailway_control_bytes_total',
  calls: 'wagtailway_platform_calls_total',
} as const

type Counts = Record<keyof typeof COUNTERS, number> & { resident: number }

/** Starts the routers, lets them settle and measures them. */
export async function measureIdle(opts: IdleOptions): Promise<IdleCost> {
  const deployment = await Deployment.start({
    ...opts,
    declarations: DECLARATIONS,
    engines: [],
    services: [],
  })
  try {
    await delay(SETTLE_MS)
    const before = await countAll(deployment)
    await delay(opts.seconds * MS_PER_SECOND)
    const after = await countAll(deployment)
    const perRouter = opts.routers * opts.seconds
    return {
      routers: opts.routers,
      cpuMsPerSecond: ((after.cpu - before.cpu) * MS_PER_SECOND) / perRouter,
      residentMb: after.resident / opts.routers / BYTES_PER_MB,
      controlBytesPerSecond: (after.bytes - before.bytes) / perRouter,
      platformCallsPerSecond: (after.calls - before.calls) / perRouter,
    }
  } finally {
    await deployment.close()
  }
}

async function countAll(deployment: Deployment): Promise<Counts> {
  const total: Counts = { cpu: 0, bytes: 0, calls: 0, resident: 0 }
  for (const { address } of deployment.routers) {
    const metrics = await fetchText(`http://${address}/metrics`)
    const body = metrics?.body ?? ''
    total.cpu += metricOf(body, COUNTERS.cpu) ?? 0
    total.bytes += metricOf(body, COUNTERS.bytes) ?? 0
    total.calls += metricOf(body, COUNTERS.calls) ?? 0
    total.resident += metricOf(body, 'process_resident_memory_bytes') ?? 0
  }
  return total
}
