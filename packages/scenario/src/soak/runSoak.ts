/** Runs real gateway processes under random faults and checks the promised properties. */
import { Agent } from 'node:http'
import { seededRandom } from '@wagtailway/core'
import {
  ReplicaStandin,
  StoreStandin,
  callerHeaders,
  fleetConfig,
} from '@wagtailway/standins'
import { sendToFleet } from '../fleet/fleetClient.js'
import { findFreePorts } from '../fleet/freePorts.js'
import { waitUntil } from '../fleet/gatewayHarness.js'
import {
  COLD_PER_S,
  checkLost,
  checkSoak,
  type ColdPeriod,
  type DrainPeriod,
  type KeyProbe,
  type LimitPeriod,
  type RevokedKey,
  type SoakCall,
  type TraitCrash,
} from './soakCheck.js'
import type { CurrentTrait, SoakContext } from './soakFault.js'
import { FAULT_NAMES, planFaults } from './soakFaults.js'
import { SoakGateway } from './soakGateway.js'
import { LEAVER_ID, LEAVER_RUN_MS, sendLeavers } from './soakLeavers.js'
import { LARGE_PATH, LARGE_RESPONSE_BYTES, MAX_BODY_BYTES } from './soakLoad.js'

export interface SoakOptions {
  readonly seed: number
  readonly gateways: number
  /** Duration of the fault injection, in milliseconds. */
  readonly faultsMs: number
  /**
   * Mean pause between two faults, in milliseconds.
   *
   * @default MEAN_FAULT_PAUSE_MS
   */
  readonly meanPauseMs?: number
  /**
   * Names of the faults to inject.
   *
   * @default all
   */
  readonly faults?: readonly string[]
  /**
   * Program of the gateways.
   *
   * @default that of this build
   */
  readonly program?: string
}

export interface SoakReport {
  readonly findings: readonly string[]
  readonly faults: readonly string[]
  readonly calls: number
  readonly answered: number
  /** Last log lines of each gateway. */
  readonly logs: readonly string[]
}

/** Pause between two requests of one caller, in milliseconds. */
const REQUEST_PAUSE_MS = 20

/** Request timeout of a caller, in milliseconds; longer than that of each route. */
const REQUEST_TIMEOUT_MS = 3_000

/** Number of callers; each reuses its connection while its gateway runs. */
const CALLER_COUNT = 8

/** Pause between two requests with a revoked key, in milliseconds. */
const PROBE_PAUSE_MS = 60

/** Longest time from a restore until what was lost is written again, in milliseconds. */
const MAX_REWRITE_DELAY_MS = 600

/** Time until a replica that has crashed starts again, in milliseconds. */
const REPLICA_RESTART_MS = 500

/** Pause between two requests under which replicas crash, in milliseconds. */
const BAD_PAUSE_MS = 90

/** Time without new faults before the final requests, in milliseconds. */
const FINAL_PAUSE_MS = 4_000

const PLAIN_REPLICAS = ['p1', 'p2', 'p3']
const MODEL_REPLICAS = ['m1', 'm2', 'm3']

/**
 * Runs the soak with one seed.
 *
 * @example
 * const { findings } = await runSoak({ seed: 7, gateways: 3, faultsMs: 8_000 })
 */
export async function runSoak(opts: SoakOptions): Promise<SoakReport> {
  const random = seededRandom(opts.seed)
  const store = await StoreStandin.create()
  const traitCrashes: TraitCrash[] = []
  const limitPeriods: LimitPeriod[] = []
  const coldPeriods: ColdPeriod[] = []
  const createReplica = (id: string): Promise<ReplicaStandin> =>
    ReplicaStandin.create({
      id,
      responseBytes: ({ url }) =>
        url?.startsWith(LARGE_PATH) ? LARGE_RESPONSE_BYTES : 0,
      responseMs: ({ url }) => (url?.includes(LEAVER_ID) === true ? LEAVER_RUN_MS : 0),
      onCrash: () => {
        restartLater(id)
      },
    })
  const restartLater = (id: string): void => {
    endLimit(id)
    if (badTrait.current)
      traitCrashes.push({ trait: badTrait.current, atMs: performance.now() })
    setTimeout(() => {
      const replica = replicas.find((candidate) => candidate.id === id)
      if (stop.isRequested || !replica) return
      void replica.restart().then(() => {
        writeEntry(replica, 'ready')
      })
    }, REPLICA_RESTART_MS)
  }
  // What a replica named before its end doesn't bind its next incarnation.
  const endLimit = (id: string): void => {
    const crashed = replicas.find((replica) => replica.id === id)
    if (crashed) crashed.rateLimit = undefined
    const periods = [...limitPeriods, ...coldPeriods]
    for (const period of periods.filter(({ replica }) => replica === id))
      period.untilMs = Math.min(period.untilMs, performance.now())
  }
  const replicas = await Promise.all(
    [...PLAIN_REPLICAS, ...MODEL_REPLICAS].map(createReplica),
  )
  const badTrait: CurrentTrait = { current: undefined }
  const stop = { isRequested: false }
  const drainPeriods: DrainPeriod[] = []
  const entries = new Map<string, unknown>()
  const writeEntry: SoakContext['writeEntry'] = (replica, state) => {
    const service = MODEL_REPLICAS.includes(replica.id) ? 'models' : 'plain'
    const entry = replica.entry({ service, state })
    entries.set(replica.id, entry)
    store.put('servers', replica.id, entry)
    const now = performance.now()
    const previous = drainPeriods.findLast((period) => period.replica === replica.id)
    if (previous) previous.untilMs = Math.min(previous.untilMs, now)
    if (state === 'draining') {
      drainPeriods.push({
        replica: replica.id,
        fromMs: now,
        untilMs: Number.POSITIVE_INFINITY,
      })
    }
  }
  const revokedKeys: RevokedKey[] = []
  let configVersion = 0
  const writeConfig = (): void => {
    const keys = ['key-1', `key-of-${configVersion}`]
    const config = fleetConfig({
      version: configVersion,
      keys,
      bodyBytes: MAX_BODY_BYTES,
      cold: { coldStartS: 3, coldPerS: COLD_PER_S },
    })
    store.put('config', 'main', config)
  }
  const changeConfig = (): void => {
    revokedKeys.push({ key: `key-of-${configVersion}`, atMs: performance.now() })
    configVersion += 1
    writeConfig()
  }
  const restoreStore: SoakContext['restoreStore'] = (copy) => {
    store.restore(copy)
    setTimeout(writeConfig, MAX_REWRITE_DELAY_MS * random())
    for (const { id } of replicas) {
      setTimeout(() => {
        store.put('servers', id, entries.get(id))
      }, MAX_REWRITE_DELAY_MS * random())
    }
  }
  changeConfig()
  for (const replica of replicas) writeEntry(replica, 'ready')
  const gateways = await startGateways(opts, store.port)
  let storeDisturbedUntilMs = 0
  const disturbances: { fromMs: number; untilMs: number }[] = []
  const context: Omit<SoakContext, 'random'> = {
    store,
    gateways,
    replicas,
    writeEntry,
    revokeKey: changeConfig,
    badTrait,
    limitPeriods,
    coldPeriods,
    restoreStore,
    markStoreDisturbed: (ms) => {
      storeDisturbedUntilMs = Math.max(storeDisturbedUntilMs, performance.now() + ms)
    },
  }
  const calls: SoakCall[] = []
  const keyProbes: KeyProbe[] = []
  const faults: string[] = []
  try {
    const startFindings = await checkReady(gateways, 'the start')
    const callers = Array.from({ length: CALLER_COUNT }, (_, i) =>
      runCaller(i, gateways, calls, stop),
    )
    const leaving = sendLeavers({
      random: seededRandom(opts.seed),
      gateways,
      replicas,
      stop,
    })
    callers.push(sendBadRequests(gateways, badTrait, stop))
    callers.push(probeRevokedKeys(gateways, revokedKeys, keyProbes, stop))
    const { seed, faults: names = FAULT_NAMES, faultsMs, meanPauseMs } = opts
    const plan = planFaults(seed, names, faultsMs, meanPauseMs)
    for (const { fault, pauseMs, random } of plan) {
      await sleep(pauseMs)
      const undo = fault.inject({ ...context, random })
      if (undo) setTimeout(undo, fault.ms)
      faults.push(fault.name)
      const latestUntilMs = Math.max(
        storeDisturbedUntilMs,
        ...gateways.map(({ disturbedUntilMs }) => disturbedUntilMs),
      )
      disturbances.push({ fromMs: performance.now(), untilMs: latestUntilMs })
    }
    await sleep(FINAL_PAUSE_MS)
    const readyFindings = await checkReady(gateways, 'the faults')
    stop.isRequested = true
    await Promise.all(callers)
    const leavers = await leaving
    const finalFindings = await checkServing(gateways)
    const downPeriods = new Map(
      gateways.map(({ opts: { name }, downPeriods }) => [name, downPeriods]),
    )
    const runs = new Map(replicas.map((replica) => [replica.id, replica.runs]))
    const arrivals = new Map(replicas.map((replica) => [replica.id, replica.arrivals]))
    const isUndisturbed = (fromMs: number, untilMs: number): boolean =>
      !disturbances.some((d) => d.fromMs <= untilMs && d.untilMs >= fromMs)
    return {
      findings: [
        ...checkSoak({
          calls,
          runs,
          drainPeriods,
          keyProbes,
          traitCrashes,
          limitPeriods,
          coldPeriods,
          arrivals,
          leavers,
          isUndisturbed,
        }),
        ...checkLost(calls, downPeriods),
        ...gateways.flatMap(({ findings }) => findings),
        ...startFindings,
        ...readyFindings,
        ...finalFindings,
      ],
      faults,
      calls: calls.length,
      answered: calls.filter(({ response }) => response.status === 200).length,
      logs: gateways.flatMap(({ opts: { name }, logLines }) => [
        `-- ${name}`,
        ...logLines,
      ]),
    }
  } finally {
    stop.isRequested = true
    await Promise.all(gateways.map((gateway) => gateway.close()))
    await Promise.all(replicas.map((replica) => replica.close()))
    await store.close()
  }
}

async function startGateways(
  { gateways: count, program }: SoakOptions,
  storePort: number,
): Promise<SoakGateway[]> {
  const [callers = 0, readiness = 0, control = 0, peers = 0, metrics = 0] =
    await findFreePorts(5)
  const ports = { callers, readiness, control, peers, metrics }
  const hosts = Array.from({ length: count }, (_, i) => `127.0.0.${i + 1}`)
  const seeds = hosts.slice(0, 3)
  return Promise.all(
    hosts.map((host, i) =>
      SoakGateway.create({
        name: `n${i + 1}`,
        host,
        seeds,
        ports,
        storePort,
        isSupervised: true,
        ...(program !== undefined && { program }),
      }),
    ),
  )
}

/** Sends requests of all kinds until stopped; keeps one connection open per gateway. */
async function runCaller(
  index: number,
  gateways: readonly SoakGateway[],
  calls: SoakCall[],
  stop: { readonly isRequested: boolean },
): Promise<void> {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  const kinds = ['plain', 'once', 'stream'] as const
  for (let i = 0; !stop.isRequested; i += 1) {
    const kind = kinds[(i + index) % kinds.length] ?? 'plain'
    const gateway = gateways[(index + Math.floor(i / 40)) % gateways.length]
    if (!gateway) break
    const id = `c${index}-${i}`
    const path = `/${kind === 'stream' ? 'notes' : kind}/${id}`
    const sentAtMs = performance.now()
    const response = await sendToFleet({
      server: gateway.opts.host,
      port: gateway.opts.ports.callers,
      method: kind === 'once' ? 'POST' : 'GET',
      path,
      headers: callerHeaders({
        requestId: id,
        isStream: kind === 'stream',
        waitMs: REQUEST_TIMEOUT_MS,
        promptParts: ['first', `doc-${i % 3}`, id],
      }),
      ...(kind === 'once' && { body: id }),
      agent,
      timeoutMs: REQUEST_TIMEOUT_MS,
    })
    const { name } = gateway.opts
    calls.push({
      id,
      kind,
      path,
      response,
      gateway: name,
      sentAtMs,
      endedAtMs: performance.now(),
    })
    await sleep(REQUEST_PAUSE_MS)
  }
  agent.destroy()
}

/**
 * Sends requests with the trait under which replicas crash, while there is one, to one gateway
 * after the other.
 */
async function sendBadRequests(
  gateways: readonly SoakGateway[],
  badTrait: CurrentTrait,
  stop: { readonly isRequested: boolean },
): Promise<void> {
  for (let i = 0; !stop.isRequested; i += 1) {
    const gateway = gateways[i % gateways.length]
    const { current } = badTrait
    if (gateway && current !== undefined) {
      const id = `bad-${i}`
      const isPart = current.kind === 'part'
      const headers = callerHeaders({
        requestId: id,
        isStream: isPart,
        waitMs: REQUEST_TIMEOUT_MS,
        ...(isPart && { promptParts: ['first', current.value, `doc-${i % 3}`, id] }),
      })
      void sendToFleet({
        server: gateway.opts.host,
        port: gateway.opts.ports.callers,
        method: isPart ? 'GET' : 'POST',
        path: isPart ? `/notes/${id}` : '/plain/bad',
        headers,
        ...(!isPart && { body: current.value }),
        timeoutMs: REQUEST_TIMEOUT_MS,
      })
    }
    await sleep(BAD_PAUSE_MS)
  }
}

/** Sends requests with the key that was revoked last, to one gateway after the other. */
async function probeRevokedKeys(
  gateways: readonly SoakGateway[],
  revokedKeys: readonly RevokedKey[],
  probes: KeyProbe[],
  stop: { readonly isRequested: boolean },
): Promise<void> {
  for (let i = 0; !stop.isRequested; i += 1) {
    const revoked = revokedKeys.at(-1)
    const gateway = gateways[i % gateways.length]
    if (!revoked || !gateway) break
    const sentAtMs = performance.now()
    const { status } = await sendToFleet({
      server: gateway.opts.host,
      port: gateway.opts.ports.callers,
      path: `/plain/probe-${i}`,
      headers: callerHeaders({ requestId: `probe-${i}`, key: revoked.key }),
      timeoutMs: REQUEST_TIMEOUT_MS,
    })
    probes.push({ revoked, sentAtMs, status })
    await sleep(PROBE_PAUSE_MS)
  }
}

/** Checks that each gateway becomes ready. */
async function checkReady(
  gateways: readonly SoakGateway[],
  since: string,
): Promise<string[]> {
  const findings = await Promise.all(
    gateways.map((gateway) =>
      waitUntil(() => gateway.isReady()).then(
        () => [],
        (err: unknown) => [
          `${gateway.opts.name} is not ready after ${since}: ${String(err)}`,
        ],
      ),
    ),
  )
  return findings.flat()
}

/** Checks that each gateway serves plain requests again after the faults. */
async function checkServing(gateways: readonly SoakGateway[]): Promise<string[]> {
  const findings = await Promise.all(
    gateways.map(async ({ opts: { name, host, ports } }) => {
      const { status } = await sendToFleet({
        server: host,
        port: ports.callers,
        path: '/plain/last',
        headers: callerHeaders({ requestId: `last-${name}` }),
      })
      return status === 200
        ? []
        : [`${name} answered ${status} after the faults had ended`]
    }),
  )
  return findings.flat()
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
