/** Runs real gateways under random faults and checks the promises. */
import { Agent } from 'node:http'
import { seededRandom } from '@wagtailway/core'
import {
  ReplicaStandin,
  StoreStandin,
  callerHeaders,
  fleetConfig,
} from '@wagtailway/standins'
import { callFleet } from '../fleet/fleetClient.js'
import { eventually, freePorts } from '../fleet/gatewayHarness.js'
import { checkSoak, type Leave, type SoakCall } from './soakCheck.js'
import { beginFault, type SoakWorld } from './soakFaults.js'
import { SoakGateway } from './soakGateway.js'

export interface SoakOptions {
  readonly seed: number
  readonly gateways: number
  /** Time with faults, in milliseconds. */
  readonly faultsMs: number
}

export interface SoakReport {
  readonly findings: readonly string[]
  readonly faults: readonly string[]
  readonly calls: number
  readonly answered: number
  /** Last log lines of each gateway. */
  readonly logs: readonly string[]
}

/** Mean pause between two faults, in milliseconds: series overlap. */
const FAULT_PAUSE_MS = 450

/** Pause between two requests of one caller, in milliseconds. */
const CALL_PAUSE_MS = 20

/** Time after which a caller leaves, in milliseconds: beyond each route's time-out. */
const CALL_TIMEOUT_MS = 3_000

/** Callers; each keeps its connection while its gateway lives. */
const CALLERS = 8

/** Calm time before the last check, in milliseconds. */
const CALM_MS = 4_000

const PLAIN = ['p1', 'p2', 'p3']
const MODELS = ['m1', 'm2', 'm3']

/**
 * Runs one seed.
 *
 * @example
 * const { findings } = await runSoak({ seed: 7, gateways: 3, faultsMs: 8_000 })
 */
export async function runSoak(opts: SoakOptions): Promise<SoakReport> {
  const random = seededRandom(opts.seed)
  const store = await StoreStandin.create()
  const create = (id: string): Promise<ReplicaStandin> => ReplicaStandin.create({ id })
  const replicas = await Promise.all([...PLAIN, ...MODELS].map(create))
  const leaves: Leave[] = []
  const enter: SoakWorld['enter'] = (replica, state) => {
    const service = MODELS.includes(replica.id) ? 'models' : 'plain'
    store.put('servers', replica.id, replica.entry({ service, state }))
    const now = performance.now()
    const last = leaves.findLast((leave) => leave.replica === replica.id)
    if (last) last.untilMs = Math.min(last.untilMs, now)
    if (state === 'draining') {
      leaves.push({ replica: replica.id, fromMs: now, untilMs: Number.POSITIVE_INFINITY })
    }
  }
  store.put('config', 'main', fleetConfig({ version: 1 }))
  for (const replica of replicas) enter(replica, 'ready')
  const gateways = await startGateways(opts.gateways, store.port)
  let storeDisturbedUntilMs = 0
  const disturbances: { fromMs: number; untilMs: number }[] = []
  const world: SoakWorld = {
    random,
    store,
    gateways,
    replicas,
    enter,
    storeDisturbed: (ms) => {
      storeDisturbedUntilMs = Math.max(storeDisturbedUntilMs, performance.now() + ms)
    },
  }
  const calls: SoakCall[] = []
  const faults: string[] = []
  const stop = { isDue: false }
  try {
    await Promise.all(gateways.map((gateway) => eventually(() => gateway.isReady())))
    const callers = Array.from({ length: CALLERS }, (_, i) =>
      runCaller(i, gateways, calls, stop),
    )
    const endMs = performance.now() + opts.faultsMs
    while (performance.now() < endMs) {
      await sleep(FAULT_PAUSE_MS * (0.3 + 1.4 * random()))
      faults.push(beginFault(world))
      const until = Math.max(
        storeDisturbedUntilMs,
        ...gateways.map(({ disturbedUntilMs }) => disturbedUntilMs),
      )
      disturbances.push({ fromMs: performance.now(), untilMs: until })
    }
    await sleep(CALM_MS)
    await Promise.all(gateways.map((gateway) => eventually(() => gateway.isReady())))
    stop.isDue = true
    await Promise.all(callers)
    const last = await lastCalls(gateways)
    const runs = new Map(replicas.map((replica) => [replica.id, replica.runs]))
    const isCalm = (fromMs: number, untilMs: number): boolean =>
      !disturbances.some((d) => d.fromMs <= untilMs && d.untilMs >= fromMs)
    return {
      findings: [...checkSoak({ calls, runs, leaves, isCalm }), ...last],
      faults,
      calls: calls.length,
      answered: calls.filter(({ answer }) => answer.status === 200).length,
      logs: gateways.flatMap(({ opts: { name }, lines }) => [`-- ${name}`, ...lines]),
    }
  } finally {
    stop.isDue = true
    await Promise.all(gateways.map((gateway) => gateway.close()))
    await Promise.all(replicas.map((replica) => replica.close()))
    await store.close()
  }
}

async function startGateways(count: number, storePort: number): Promise<SoakGateway[]> {
  const [callers = 0, readiness = 0, control = 0, peers = 0, metrics = 0] =
    await freePorts(5)
  const ports = { callers, readiness, control, peers, metrics }
  const hosts = Array.from({ length: count }, (_, i) => `127.0.0.${i + 1}`)
  const seeds = hosts.slice(0, 3)
  return Promise.all(
    hosts.map((host, i) =>
      SoakGateway.create({ name: `n${i + 1}`, host, seeds, ports, storePort }),
    ),
  )
}

/** Sends requests of all kinds, over one kept connection while its gateway lives. */
async function runCaller(
  index: number,
  gateways: readonly SoakGateway[],
  calls: SoakCall[],
  stop: { readonly isDue: boolean },
): Promise<void> {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  const kinds = ['plain', 'once', 'stream'] as const
  for (let i = 0; !stop.isDue; i += 1) {
    const kind = kinds[(i + index) % kinds.length] ?? 'plain'
    const gateway = gateways[(index + Math.floor(i / 40)) % gateways.length]
    if (!gateway) break
    const id = `c${index}-${i}`
    const path = `/${kind === 'stream' ? 'notes' : kind}/${id}`
    const answer = await callFleet({
      server: gateway.opts.host,
      port: gateway.opts.ports.callers,
      method: kind === 'once' ? 'POST' : 'GET',
      path,
      headers: callerHeaders({
        requestId: id,
        isStream: kind === 'stream',
        waitMs: CALL_TIMEOUT_MS,
      }),
      ...(kind === 'once' && { body: id }),
      agent,
      timeoutMs: CALL_TIMEOUT_MS,
    })
    calls.push({ id, kind, path, answer })
    await sleep(CALL_PAUSE_MS)
  }
  agent.destroy()
}

/** After the calm each gateway serves plain requests again. */
async function lastCalls(gateways: readonly SoakGateway[]): Promise<string[]> {
  const answers = await Promise.all(
    gateways.map(async ({ opts: { name, host, ports } }) => {
      const { status } = await callFleet({
        server: host,
        port: ports.callers,
        path: '/plain/last',
        headers: callerHeaders({ requestId: `last-${name}` }),
      })
      return status === 200 ? [] : [`${name} answered ${status} after the calm`]
    }),
  )
  return answers.flat()
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
