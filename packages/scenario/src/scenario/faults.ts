/** Injects the faults of a scenario when they are due. */
import { setTimeout as delay } from 'node:timers/promises'
import type { Instance } from '@wagtailway/platform'
import type { Deployment } from '../harness/deployment.js'
import { PASS, type RelayState } from '../relay/index.js'
import type { Balancer } from './balancer.js'
import type { Links } from './links.js'
import { applyDocuments, withdraw } from './operators.js'
import { partEventNow, type RunLog } from './runLog.js'
import { actionsOf, type Action, type Fault } from './schema.js'

export interface FaultContext {
  readonly deployment: Deployment
  readonly balancer: Balancer
  readonly links: Links
  readonly log: RunLog
  /**
   * Delay until a killed or stopped part is removed from the balancer and the platform's
   * list.
   */
  readonly noticeAfterMs: number
}

/** Undoes a fault; absent if there is nothing to undo. */
type Undo = (() => Promise<void>) | undefined

type Injector = (ctx: FaultContext, fault: Fault) => Promise<Undo>

/** Waits until a fault is due, injects it and undoes it after its duration. */
export async function runFault(ctx: FaultContext, fault: Fault): Promise<void> {
  await waitUntilDue(ctx.log, fault)
  const [action] = actionsOf(fault)
  if (!action) return
  const undo = await INJECTORS[action](ctx, fault)
  if (!undo || fault.for === undefined) return
  await delay(fault.for)
  await undo()
}

async function waitUntilDue(log: RunLog, fault: Fault): Promise<void> {
  if (fault.at !== undefined) await delay(fault.at)
  if (fault.afterAnswers !== undefined)
    await log.waitForCount('answers', fault.afterAnswers)
  if (fault.afterStarts !== undefined) await log.waitForCount('starts', fault.afterStarts)
  if (fault.afterChanges !== undefined)
    await log.waitForCount('changes', fault.afterChanges)
}

const INJECTORS: Readonly<Record<Action, Injector>> = {
  kill: async (ctx, { kill = '' }) => {
    await killPart(ctx, kill)
    return undefined
  },
  freeze: ({ deployment }, { freeze = '' }) => {
    deployment.part(freeze).freeze()
    return toUndo(() => {
      deployment.part(freeze).thaw()
    })
  },
  stop: async (ctx, { stop = '' }) => {
    await stopPart(ctx, stop)
    return undefined
  },
  start: async ({ deployment }) => {
    await deployment.startRouter()
    return undefined
  },
  replace: async (ctx, { replace = '' }) => {
    await killPart(ctx, replace)
    await ctx.deployment.startRouter()
    return undefined
  },
  cut: (ctx, { cut = '' }) => setLinks(ctx, cut, { type: 'cut' }),
  reset: (ctx, { reset = '' }) => {
    for (const relay of ctx.links.relays(reset)) relay.resetOpen()
    return toUndo()
  },
  silence: (ctx, { silence = '' }) => setLinks(ctx, silence, { type: 'silent' }),
  silenceOpen: (ctx, { silenceOpen = '' }) => {
    for (const relay of ctx.links.relays(silenceOpen)) relay.silenceOpen()
    return toUndo()
  },
  loseAnswers: (ctx, { loseAnswers = '' }) =>
    setLinks(ctx, loseAnswers, { type: 'answersLost' }),
  slow: (ctx, { slow = '', by = 0 }) =>
    setLinks(ctx, slow, { type: 'slow', delayMs: by }),
  engine: async ({ deployment }, { engine = '', faults }) => {
    await deployment.admin(deployment.part(engine), 'POST', '/admin/faults', faults)
    return undefined
  },
  platform: async ({ deployment }, { platform }) => {
    const set = (faults: unknown): Promise<unknown> =>
      deployment.admin(deployment.platform, 'POST', '/admin/faults', faults)
    await set(platform)
    return async () => {
      await set({ outage: false, latencyMs: 0, loseConfirmations: 0, listLagMs: 0 })
    }
  },
  ratings: async ({ deployment }, { ratings }) => {
    const set = (faults: unknown): Promise<unknown> =>
      deployment.admin(deployment.ratings, 'POST', '/admin/faults', faults)
    await set(ratings)
    return async () => {
      await set({ outage: false })
    }
  },
  quality: async ({ deployment }, { quality = {} }) => {
    for (const [version, value] of Object.entries(quality)) {
      const path = `/admin/quality/${encodeURIComponent(version)}`
      await deployment.admin(deployment.ratings, 'PUT', path, value)
    }
    return undefined
  },
  leaving: async (ctx, { leaving = '' }) => {
    const listed = await findListedInstance(ctx, leaving)
    await ctx.deployment.setInstance({ ...listed, state: 'leaving' })
    ctx.log.leavings.push(partEventNow(leaving))
    return () => ctx.deployment.setInstance(listed)
  },
  unlist: async (ctx, { unlist = '' }) => {
    const listed = await findListedInstance(ctx, unlist)
    await removeInstance(ctx, unlist)
    ctx.log.leavings.push(partEventNow(unlist))
    return () => ctx.deployment.setInstance(listed)
  },
  withdraw: async ({ deployment, log }, { withdraw: version = '' }) => {
    await withdraw(deployment, log, version)
    return undefined
  },
  apply: async ({ deployment, log }, { apply = [] }) => {
    await applyDocuments(deployment, log, apply)
    return undefined
  },
}

async function killPart(ctx: FaultContext, part: string): Promise<void> {
  await ctx.deployment.part(part).kill()
  void deregisterKilledPart(ctx, part)
}

/**
 * Stops a part. It is removed from the balancer after the notice delay, and from the
 * platform's list once it has exited as well.
 */
async function stopPart(ctx: FaultContext, part: string): Promise<void> {
  const process = ctx.deployment.part(part)
  ctx.log.stops.push(partEventNow(part))
  const removedFromBalancer = delay(ctx.noticeAfterMs).then(() => {
    ctx.balancer.remove(part)
  })
  await process.stop()
  ctx.log.exits.push(partEventNow(part))
  await removedFromBalancer
  await removeInstance(ctx, part)
}

/**
 * Removes a killed part from the balancer and the platform's list after the notice delay.
 */
async function deregisterKilledPart(ctx: FaultContext, part: string): Promise<void> {
  await delay(ctx.noticeAfterMs)
  ctx.balancer.remove(part)
  // Ignores errors: the deployment may have been closed in the meantime.
  await removeInstance(ctx, part).catch(() => undefined)
}

async function removeInstance({ deployment }: FaultContext, id: string): Promise<void> {
  const path = `/admin/instances/${encodeURIComponent(id)}`
  await deployment.admin(deployment.platform, 'DELETE', path)
}

async function findListedInstance(
  { deployment }: FaultContext,
  id: string,
): Promise<Instance> {
  const body = await deployment.admin(deployment.platform, 'GET', '/admin/instances')
  const found = (body as Instance[]).find((instance) => instance.id === id)
  if (!found) throw new Error(`"${id}" is not on the platform's list`)
  return found
}

function setLinks(ctx: FaultContext, link: string, state: RelayState): Promise<Undo> {
  for (const relay of ctx.links.relays(link)) relay.set(state)
  return toUndo(() => {
    for (const relay of ctx.links.relays(link)) relay.set(PASS)
  })
}

function toUndo(undo?: () => void): Promise<Undo> {
  if (!undo) return Promise.resolve(undefined)
  return Promise.resolve(() => {
    undo()
    return Promise.resolve()
  })
}
