/**
 * Measures the propagation of a configuration change on real processes during a fault.
 */
import { setTimeout as delay } from 'node:timers/promises'
import {
  CONFIG_OBJECT,
  effectiveConfigSchema,
  type EffectiveConfig,
} from '@wagtailway/core'
import { PlatformClient } from '@wagtailway/platform'
import type { TestProcess } from '../harness/testProcess.js'
import type { Deployment } from '../harness/deployment.js'
import { fetchText, metricSum } from './routerMetrics.js'

export const PROCESS_FAULTS = ['none', 'kill', 'freeze', 'platformOutage'] as const

export type ProcessFault = (typeof PROCESS_FAULTS)[number]

export interface ProcessTrial {
  readonly fault: ProcessFault
  /** From the confirmed write until every responding router holds the revision. */
  readonly heldMs: number
  /**
   * From the confirmed write until the last poll that found a router ready with an
   * older one.
   */
  readonly lastOldMs: number
  /** Number of times that a router reverted to an older revision. */
  readonly reverted: number
}

const POLL_MS = 50
const FAULT_MS = 6_000
const TRIAL_MS = 14_000

/** Revision and readiness of a router, from its metrics and its readiness endpoint. */
interface RouterState {
  readonly revision: number
  readonly isReady: boolean
}

/**
 * Runs one trial on a running deployment. A kill or freeze starts just before the
 * write, an outage just after it.
 */
export async function processTrial(
  deployment: Deployment,
  fault: ProcessFault,
  change: number,
): Promise<ProcessTrial> {
  const victim = deployment.routers.find((router) => !router.hasExited)
  await startFault(deployment, victim, fault)
  const client = PlatformClient.create({ url: deployment.platformUrl })
  const revision = await writeConfig(client, change, fault)
  client.close()
  const writtenAtMs = performance.now()
  if (fault === 'platformOutage') await setOutage(deployment, true)
  const observed = observe(deployment, revision, writtenAtMs)
  await delay(FAULT_MS)
  if (fault === 'freeze') victim?.thaw()
  if (fault === 'platformOutage') await setOutage(deployment, false)
  const trial = await observed
  if (fault === 'kill') {
    await deployment.startRouter()
    await deployment.waitUntilReady()
  }
  return { fault, ...trial }
}

async function startFault(
  deployment: Deployment,
  victim: TestProcess | undefined,
  fault: ProcessFault,
): Promise<void> {
  if (fault === 'freeze') victim?.freeze()
  if (fault !== 'kill' || !victim) return
  await victim.kill()
  deployment.routers.splice(deployment.routers.indexOf(victim), 1)
}

function setOutage(deployment: Deployment, outage: boolean): Promise<unknown> {
  return deployment.admin(deployment.platform, 'POST', '/admin/faults', { outage })
}

async function writeConfig(
  client: PlatformClient,
  change: number,
  reason: string,
): Promise<number> {
  const response = await client.get('config', CONFIG_OBJECT)
  if (response.err || !response.val) throw new Error('the platform has no configuration')
  const currentConfig = effectiveConfigSchema.parse(response.val.value)
  const nextConfig: EffectiveConfig = {
    ...currentConfig,
    withdrawals: [
      { model: 'trial', version: `v${change}`, reason, owner: 'root' },
      ...currentConfig.withdrawals.filter(({ model }) => model !== 'trial'),
    ],
  }
  const putResponse = await client.put(
    'config',
    CONFIG_OBJECT,
    nextConfig,
    response.val.revision,
  )
  if (putResponse.err)
    throw new Error(`the configuration was not written: ${putResponse.val.type}`)
  return putResponse.val.revision
}

async function observe(
  deployment: Deployment,
  revision: number,
  writtenAtMs: number,
): Promise<Omit<ProcessTrial, 'fault'>> {
  let heldMs = Number.POSITIVE_INFINITY
  let lastOldMs = 0
  let reverted = 0
  const lastRevisions = new Map<TestProcess, number>()
  while (performance.now() - writtenAtMs < TRIAL_MS) {
    const polledAtMs = performance.now() - writtenAtMs
    const states = await Promise.all(deployment.routers.map((r) => readState(r)))
    states.forEach((state, i) => {
      const router = deployment.routers[i]
      if (!state || !router) return
      if (state.revision < (lastRevisions.get(router) ?? 0)) reverted += 1
      lastRevisions.set(router, state.revision)
      if (state.isReady && state.revision < revision) lastOldMs = polledAtMs
    })
    const allHold = states.every((state) => !state || state.revision >= revision)
    if (allHold) heldMs = Math.min(heldMs, polledAtMs)
    await delay(POLL_MS)
  }
  const finalStates = await Promise.all(deployment.routers.map((r) => readState(r)))
  if (!finalStates.every((state) => state && state.revision >= revision))
    heldMs = Infinity
  return { heldMs, lastOldMs, reverted }
}

/** Reads a router's state; undefined if it doesn't respond in time. */
async function readState(router: TestProcess): Promise<RouterState | undefined> {
  const metrics = await fetchText(`http://${router.address}/metrics`)
  const ready = await fetchText(`http://${router.address}/readyz`)
  const revision = metricSum(metrics?.body ?? '', 'wagtailway_config_revision')
  if (revision === undefined || !ready) return undefined
  return { revision, isReady: ready.status === 200 }
}
