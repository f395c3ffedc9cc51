/** A configuration change on real processes while something fails. */
import { setTimeout as delay } from 'node:timers/promises'
import {
  CONFIG_OBJECT,
  effectiveConfigSchema,
  type EffectiveConfig,
} from '@wagtailway/core'
import { PlatformClient } from '@wagtailway/platform'
import type { TestProcess } from '../harness/testProcess.js'
import type { Deployment } from '../harness/deployment.js'
import { fetchText, metricOf } from './routerMetrics.js'

export const PROCESS_FAULTS = ['none', 'kill', 'freeze', 'platformOutage'] as const

export type ProcessFault = (typeof PROCESS_FAULTS)[number]

export interface ProcessTrial {
  readonly fault: ProcessFault
  /** From the confirmed write until every running router holds the revision. */
  readonly heldMs: number
  /** From the confirmed write until the last look at a router that was ready with an older one. */
  readonly lastOldMs: number
  readonly reverted: number
}

const POLL_MS = 50
const FAULT_MS = 6_000
const TRIAL_MS = 14_000

/** Revision and readiness of a router, as its operators see them. */
interface RouterState {
  readonly revision: number
  readonly isReady: boolean
}

/** Runs one trial on a running deployment; the fault begins as the write goes out. */
export async function processTrial(
  deployment: Deployment,
  fault: ProcessFault,
  change: number,
): Promise<ProcessTrial> {
  const victim = deployment.routers.find((router) => !router.hasExited)
  await begin(deployment, victim, fault)
  const client = PlatformClient.create({ url: deployment.platformUrl })
  const revision = await write(client, change, fault)
  client.close()
  const startedAtMs = performance.now()
  if (fault === 'platformOutage') await setOutage(deployment, true)
  const observed = observe(deployment, revision, startedAtMs)
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

async function begin(
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

async function write(
  client: PlatformClient,
  change: number,
  reason: string,
): Promise<number> {
  const read = await client.get('config', CONFIG_OBJECT)
  if (read.err || !read.val) throw new Error('the platform has no configuration')
  const before = effectiveConfigSchema.parse(read.val.value)
  const next: EffectiveConfig = {
    ...before,
    withdrawals: [
      { model: 'trial', version: `v${change}`, reason, owner: 'root' },
      ...before.withdrawals.filter(({ model }) => model !== 'trial'),
    ],
  }
  const put = await client.put('config', CONFIG_OBJECT, next, read.val.revision)
  if (put.err) throw new Error(`the configuration was not written: ${put.val.type}`)
  return put.val.revision
}

async function observe(
  deployment: Deployment,
  revision: number,
  startedAtMs: number,
): Promise<Omit<ProcessTrial, 'fault'>> {
  let heldMs = Number.POSITIVE_INFINITY
  let lastOldMs = 0
  let reverted = 0
  const seen = new Map<TestProcess, number>()
  while (performance.now() - startedAtMs < TRIAL_MS) {
    const askedMs = performance.now() - startedAtMs
    const states = await Promise.all(deployment.routers.map((r) => stateOf(r)))
    states.forEach((state, i) => {
      const router = deployment.routers[i]
      if (!state || !router) return
      if (state.revision < (seen.get(router) ?? 0)) reverted += 1
      seen.set(router, state.revision)
      if (state.isReady && state.revision < revision) lastOldMs = askedMs
    })
    const allHold = states.every((state) => !state || state.revision >= revision)
    if (allHold) heldMs = Math.min(heldMs, askedMs)
    await delay(POLL_MS)
  }
  const atEnd = await Promise.all(deployment.routers.map((r) => stateOf(r)))
  if (!atEnd.every((state) => state && state.revision >= revision)) heldMs = Infinity
  return { heldMs, lastOldMs, reverted }
}

/** What a router says of itself; nothing if it does not answer in time. */
async function stateOf(router: TestProcess): Promise<RouterState | undefined> {
  const metrics = await fetchText(`http://${router.address}/metrics`)
  const ready = await fetchText(`http://${router.address}/readyz`)
  const revision = metricOf(metrics?.body ?? '', 'wagtailway_config_revision')
  if (revision === undefined || !ready) return undefined
  return { revision, isReady: ready.status === 200 }
}
