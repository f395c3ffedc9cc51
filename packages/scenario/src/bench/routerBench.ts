/**
 * Measures the latency that one router adds compared with direct calls to the same
 * stand-in engines.
 */
import { seededRandom } from '@wagtailway/core'
import { DEMO_DEPLOYMENTS } from '../demo/deployments.js'
import { Deployment, type EngineSpec } from '../harness/deployment.js'
import type { ChatCall } from '../load/chatCaller.js'
import { runLoad, type LoadStats } from '../load/runLoad.js'
import { cpuTimeMs } from './cpuTime.js'

const VERSION = 'drafter@exact'
const MICROS_PER_MS = 1_000
const MS_PER_SECOND = 1_000

/**
 * Maximum number of requests sent before the measurement, so that code is compiled and
 * connections are established.
 */
const WARM_UP_REQUESTS = 3_000

export interface BenchLoad {
  readonly ratePerSecond: number
  readonly requests: number
  /** Number of tokens in each response. */
  readonly tokens: number
  readonly betweenTokensMs: number
  readonly stream: boolean
  /** Whether the same number of direct calls to the engines is sent alongside. */
  readonly withDirect: boolean
  readonly engines: number
  readonly seed: number
}

/** Latency percentiles, in milliseconds. */
export interface Percentiles {
  readonly p50: number
  readonly p99: number
}

export interface BenchResult {
  readonly sent: number
  readonly answered: number
  readonly refused: number
  /** Number of refusals by reason. */
  readonly refusals: ReadonlyMap<string, number>
  readonly wrong: number
  /** Latencies of requests through the router, from each request's intended start. */
  readonly firstToken: Percentiles
  readonly total: Percentiles
  /** Percentiles through the router minus those of the direct calls in the same run. */
  readonly addedFirstToken?: Percentiles
  readonly addedTotal?: Percentiles
  readonly answersPerSecond: number
  /** Average number of CPU cores that the router used. */
  readonly cores: number
  readonly cpuMsPerRequest: number
  readonly cpuMicrosPerToken: number
}

/**
 * Runs one load through one router; a second router stores the copies of its billing
 * records.
 *
 * @example
 * const { addedFirstToken } = await benchRouter(load)
 */
export async function benchRouter(load: BenchLoad): Promise<BenchResult> {
  const deployment = await startDeployment(load)
  try {
    await send(deployment, { ...load, ...warmUp(load) })
    const router = deployment.routers[0]
    if (!router) throw new Error('no router was started')
    const cpuBefore = await cpuTimeMs(router.pid)
    const startMs = performance.now()
    const stats = await send(deployment, load)
    const elapsedMs = performance.now() - startMs
    const cpuMs = (await cpuTimeMs(router.pid)) - cpuBefore
    return summarize(load, stats, elapsedMs, cpuMs)
  } finally {
    await deployment.close()
  }
}

function warmUp(load: BenchLoad): Partial<BenchLoad> {
  const requests = Math.min(WARM_UP_REQUESTS, load.requests)
  return { requests, seed: load.seed + 1 }
}

async function startDeployment(load: BenchLoad): Promise<Deployment> {
  const spec = DEMO_DEPLOYMENTS.find(({ name }) => name === 'haneul')
  if (!spec) throw new Error('the playground has no deployment "haneul"')
  const flags = [
    ...['--first-token-ms', '1', '--slots', '4000'],
    ...['--tokens', String(load.tokens)],
    ...['--between-tokens-ms', String(load.betweenTokensMs)],
  ]
  const engines = Array.from({ length: load.engines }, (_, i): EngineSpec => ({
    id: `e${i}`,
    zone: 'z1',
    versions: [VERSION],
    flags,
  }))
  return Deployment.start({
    ...spec,
    engines,
    services: [],
    routers: 2,
    routerFlags: ['--rating-sample', '0'],
    seed: load.seed,
  })
}

function send(deployment: Deployment, load: BenchLoad): Promise<Map<string, LoadStats>> {
  const router = deployment.routers[0]?.address ?? ''
  const engines = [...deployment.engines.values()].map(({ address }) => address)
  const common = { stream: load.stream, apiKey: 'accounts-key' }
  const callsPerRequest = load.withDirect ? 2 : 1
  return runLoad({
    count: load.requests * callsPerRequest,
    ratePerSecond: load.ratePerSecond * callsPerRequest,
    random: seededRandom(load.seed),
    callFor: (index) => {
      const prompt = `reconciliation ${index}`
      if (load.withDirect && index % callsPerRequest === 1) {
        const address = engines[index % engines.length] ?? ''
        const call: ChatCall = { ...common, prompt, address, className: VERSION }
        return { name: 'direct', call }
      }
      const call = { ...common, prompt, address: router, className: 'reconciliation' }
      return { name: 'router', call }
    },
  })
}

function summarize(
  load: BenchLoad,
  stats: ReadonlyMap<string, LoadStats>,
  elapsedMs: number,
  cpuMs: number,
): BenchResult {
  const routerStats = stats.get('router')
  if (!routerStats) throw new Error('nothing was sent')
  const direct = stats.get('direct')
  const firstToken = percentilesOf(routerStats.firstToken)
  const total = percentilesOf(routerStats.total)
  return {
    sent: routerStats.sent,
    answered: routerStats.answered,
    refused: routerStats.refused,
    refusals: routerStats.refusals,
    wrong: routerStats.wrong + (direct?.wrong ?? 0),
    firstToken,
    total,
    ...(direct && {
      addedFirstToken: subtract(firstToken, percentilesOf(direct.firstToken)),
      addedTotal: subtract(total, percentilesOf(direct.total)),
    }),
    answersPerSecond: (routerStats.answered * MS_PER_SECOND) / elapsedMs,
    cores: cpuMs / elapsedMs,
    cpuMsPerRequest: cpuMs / routerStats.sent,
    cpuMicrosPerToken: (cpuMs * MICROS_PER_MS) / (routerStats.sent * load.tokens),
  }
}

function percentilesOf(histogram: LoadStats['total']): Percentiles {
  const percentileMs = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / MICROS_PER_MS
  return { p50: percentileMs(50), p99: percentileMs(99) }
}

function subtract(a: Percentiles, b: Percentiles): Percentiles {
  return { p50: a.p50 - b.p50, p99: a.p99 - b.p99 }
}
