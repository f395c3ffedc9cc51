/** Runs one deployment of the playground under load and checks runs and billing. */
import { setTimeout as delay } from 'node:timers/promises'
import { classKey, seededRandom, type Random } from '@wagtailway/core'
import type { ServiceRun, StartedRequest } from '@wagtailway/standins'
import { checkBilling, readBilling, type BillingCheck } from '../check/billing.js'
import { Deployment } from '../harness/deployment.js'
import { ChatCaller, type ChatResult } from '../load/chatCaller.js'
import { openLoop } from '../load/openLoop.js'
import { ServiceCaller } from '../load/serviceCaller.js'
import { ClassStats } from './classStats.js'
import type { DemoClass, DemoDeployment } from './deployments.js'

export interface DemoOptions {
  readonly requests: number
  readonly ratePerSecond: number
  readonly routers: number
  readonly seed: number
  /** Additional flags for every router. */
  readonly routerFlags?: readonly string[]
}

export interface DemoReport extends BillingCheck {
  readonly name: string
  readonly classes: ReadonlyMap<string, ClassStats>
  readonly billed: number
  /** Number of answered calls of plain services. */
  readonly serviceAnswers: number
  /** Ids of answered requests that no backend server has finished. */
  readonly notFinishedByBackends: readonly string[]
  /** Ids of answered requests that backend servers have finished more than once. */
  readonly ranTwice: readonly string[]
}

/** Number of consecutive request indexes, over all classes, that share a session id. */
const SESSION_LENGTH = 5

const BILLING_POLL_MS = 100
const BILLING_TIMEOUT_MS = 10_000

/**
 * Starts the deployment, sends the requests and compares the responses with runs and
 * billing.
 */
export async function runDemo(
  spec: DemoDeployment,
  opts: DemoOptions,
): Promise<DemoReport> {
  const deployment = await Deployment.start({ ...spec, ...opts })
  try {
    await setQualities(deployment, spec)
    const { classes, answered, serviceAnswered } = await sendAll(deployment, spec, opts)
    const records = await waitForBilling(deployment.platformUrl, answered)
    for (const record of records) {
      const stats = classes.get(record.classKey)
      if (stats) stats.costMicros += record.costMicros
    }
    const billing = checkBilling(answered, records)
    const runs = await countFinishedRuns(deployment)
    const answeredIds = [...answered, ...serviceAnswered]
    return {
      name: spec.name,
      classes,
      billed: records.length,
      serviceAnswers: serviceAnswered.length,
      ...billing,
      notFinishedByBackends: answeredIds.filter((id) => !runs.has(id)),
      ranTwice: answeredIds.filter((id) => (runs.get(id) ?? 0) > 1),
    }
  } finally {
    await deployment.close()
  }
}

async function setQualities(deployment: Deployment, spec: DemoDeployment): Promise<void> {
  for (const [version, quality] of Object.entries(spec.qualities)) {
    const path = `/admin/quality/${encodeURIComponent(version)}`
    await deployment.admin(deployment.ratings, 'PUT', path, quality)
  }
}

async function sendAll(
  deployment: Deployment,
  spec: DemoDeployment,
  opts: DemoOptions,
): Promise<{
  classes: Map<string, ClassStats>
  answered: string[]
  serviceAnswered: string[]
}> {
  const random = seededRandom(opts.seed)
  const caller = ChatCaller.create()
  const services = ServiceCaller.create()
  const classes = new Map<string, ClassStats>()
  const answered: string[] = []
  const serviceAnswered: string[] = []
  await openLoop({
    count: opts.requests,
    ratePerSecond: opts.ratePerSecond,
    random,
    send: async (index, dueMs) => {
      const cls = selectClass(spec.classes, random)
      const router = deployment.routers[index % deployment.routers.length]
      const common = {
        address: router?.address ?? '',
        apiKey: cls.apiKey,
        className: cls.className,
      }
      const result =
        cls.service === undefined
          ? await caller.send({
              ...common,
              prompt: `${cls.className} request ${index}`,
              stream: cls.stream,
              headers: {
                ...sessionHeaders(cls, index),
                ...idempotencyHeaders(cls, index),
              },
            })
          : await services.send({
              ...common,
              service: cls.service,
              path: `/items/${index}`,
              nonIdempotent: cls.nonIdempotent === true,
            })
      const stats = statsOf(classes, cls)
      const quality = spec.qualities[result.versionKey] ?? 0
      stats.add(result, performance.now() - dueMs, cls.stream, quality)
      if (!isAnswered(result)) return
      const requestIds = cls.service === undefined ? answered : serviceAnswered
      requestIds.push(result.requestId)
    },
  })
  caller.close()
  services.close()
  return { classes, answered, serviceAnswered }
}

function isAnswered(result: ChatResult): boolean {
  return result.status === 200 && result.whole
}

function sessionHeaders(cls: DemoClass, index: number): Record<string, string> {
  if (!cls.sessions) return {}
  return { 'wagtailway-session': `s${Math.floor(index / SESSION_LENGTH)}` }
}

/**
 * A request that must run at most once has an idempotency key, by which a duplicate is
 * recognized.
 */
function idempotencyHeaders(cls: DemoClass, index: number): Record<string, string> {
  if (cls.nonIdempotent !== true) return {}
  return {
    'wagtailway-non-idempotent': 'true',
    'idempotency-key': `${cls.className}-${index}`,
  }
}

function selectClass(classes: readonly DemoClass[], random: Random): DemoClass {
  const total = classes.reduce((sum, { weight }) => sum + weight, 0)
  let remaining = random() * total
  for (const cls of classes) {
    remaining -= cls.weight
    if (remaining < 0) return cls
  }
  throw new Error('a deployment needs at least one class')
}

function statsOf(classes: Map<string, ClassStats>, cls: DemoClass): ClassStats {
  const name = classKey(cls.workspace, cls.className)
  const key = cls.service === undefined ? name : `${name} ${cls.service}`
  const stats = classes.get(key) ?? ClassStats.create()
  classes.set(key, stats)
  return stats
}

/** Waits until every answered request is billed or the timeout expires. */
async function waitForBilling(
  platformUrl: string,
  answered: readonly string[],
): Promise<Awaited<ReturnType<typeof readBilling>>> {
  const deadlineMs = Date.now() + BILLING_TIMEOUT_MS
  for (;;) {
    const records = await readBilling(platformUrl)
    if (checkBilling(answered, records).unbilled.length === 0) return records
    if (Date.now() > deadlineMs) return records
    await delay(BILLING_POLL_MS)
  }
}

async function countFinishedRuns(deployment: Deployment): Promise<Map<string, number>> {
  const runs = new Map<string, number>()
  for (const engine of deployment.engines.values()) {
    const started = await deployment.admin(engine, 'GET', '/admin/started')
    for (const { requestId, finished } of started as StartedRequest[]) {
      if (finished) runs.set(requestId, (runs.get(requestId) ?? 0) + 1)
    }
  }
  for (const service of deployment.services.values()) {
    const serviceRuns = await deployment.admin(service, 'GET', '/admin/runs')
    for (const { requestId } of serviceRuns as ServiceRun[]) {
      runs.set(requestId, (runs.get(requestId) ?? 0) + 1)
    }
  }
  return runs
}
