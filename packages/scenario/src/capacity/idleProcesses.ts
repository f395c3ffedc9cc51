/** Measures the cost of control traffic between real routers without any requests. */
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { Deployment } from '../harness/deployment.js'
import { fetchText, metricSum } from './routerMetrics.js'

export interface IdleOptions {
  readonly routers: number
  readonly seconds: number
  readonly seed: number
}

export interface IdleCost {
  readonly routers: number
  /** Processor time per router, in milliseconds per second. */
  readonly cpuMsPerSecond: number
  /** Resident memory per router, in megabytes. */
  readonly residentMb: number
  /** Encoded bytes that a router sends to others, per second. */
  readonly controlBytesPerSecond: number
  /** Calls of a router to the platform per second, including billing flushes. */
  readonly platformCallsPerSecond: number
}

/** Time between the routers' start and the measurement, in milliseconds. */
const WARM_UP_MS = 30_000
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

/**
 * Starts the routers, waits until their startup traffic has subsided and measures them.
 */
export async function measureIdle(opts: IdleOptions): Promise<IdleCost> {
  const deployment = await Deployment.start({
    ...opts,
    declarations: DECLARATIONS,
    engines: [],
    services: [],
  })
  try {
    await delay(WARM_UP_MS)
    const before = await readCounters(deployment)
    await delay(opts.seconds * MS_PER_SECOND)
    const after = await readCounters(deployment)
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

async function readCounters(deployment: Deployment): Promise<Counts> {
  const total: Counts = { cpu: 0, bytes: 0, calls: 0, resident: 0 }
  for (const { address } of deployment.routers) {
    const metrics = await fetchText(`http://${address}/metrics`)
    const body = metrics?.body ?? ''
    total.cpu += metricSum(body, COUNTERS.cpu) ?? 0
    total.bytes += metricSum(body, COUNTERS.bytes) ?? 0
    total.calls += metricSum(body, COUNTERS.calls) ?? 0
    total.resident += metricSum(body, 'process_resident_memory_bytes') ?? 0
  }
  return total
}
