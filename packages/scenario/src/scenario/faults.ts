/** Makes a scenario's faults happen at their times. */
import { setTimeout as delay } from 'node:timers/promises'
import type { Instance } from '@wagtailway/platform'
import type { Deployment } from '../harness/deployment.js'
import { PASS, type RelayState } from '../relay/index.js'
import type { Balancer } from './balancer.js'
import type { Links } from './links.js'
import { applyAll, withdraw } from './operators.js'
import { eventNow, type RunLog } from './runLog.js'
import { actionsOf, type Action, type Fault } from './schema.js'

export interface FaultContext {
  readonly deployment: Deployment
  readonly balancer: Balancer
  readonly links: Links
  readonly log: RunLog
  /** Time after which the balancer and the list notice that an instance is gone. */
  readonly noticeAfterMs: number
}

/** Takes a fault back; absent if nothing is to be done. */
type Undo = (() => Promise<void>) | undefined

type Injector = (ctx: FaultContext, fault: Fault) => Promise<Undo>

/** Waits for a fault's time, makes it happen and undoes it after its duration. */
export async function runFault(ctx: FaultContext, fault: Fault): Promise<void> {
  await dueTime(ctx.log, fault)
  const [action] = actionsOf(fault)
  if (!action) return
  const undo = await INJECTORS[action](ctx, fault)
  if (!undo || fault.for === undefined) return
  await delay(fault.for)
  await undo()
}

async function dueTime(log: RunLog, fault: Fault): Promise<void> {
  if (fault.at !== undefined) await delay(fault.at)
  if (fault.afterAnswers !== undefined) await log.reached('answers', fault.afterAnswers)
  if (fault.afterStarts !== undefined) await log.reached('starts', fault.afterStarts)
}

const INJECTORS: Readonly<Record<Action, Injector>> = {
  kill: async (ctx, { kill = '' }) => {
    await killPart(ctx, kill)
    return undefined
  },
  freeze: ({ deployment }, { freeze = '' }) => {
    deployment.part(freeze).freeze()
    return done(() => {
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
    return done()
  },
  silence: (ctx, { silence = '' }) => setLinks(ctx, silence, { type: 'silent' }),
  silenceOpen: (ctx, { silenceOpen = '' }) => {
    for (const relay of ctx.links.relays(silenceOpen)) relay.silenceOpen()
    return done()
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
    const listed = await listedInstance(ctx, leaving)
    await ctx.deployment.setInstance({ ...listed, state: 'leaving' })
    ctx.log.leavings.push(eventNow(leaving))
    return () => ctx.deployment.setInstance(listed)
  },
  unlist: async (ctx, { unlist = '' }) => {
    const listed = await listedInstance(ctx, unlist)
    await removeInstance(ctx, unlist)
    ctx.log.leavings.push(eventNow(unlist))
    return () => ctx.deployment.setInstance(listed)
  },
  withdraw: async ({ deployment, log }, { withdraw: version = '' }) => {
    await withdraw(deployment, log, version)
    return undefined
  },
  apply: async ({ deployment, log }, { apply = [] }) => {
    await applyAll(deployment, log, apply)
    return undefined
  },
}

async function killPart(ctx: FaultContext, part: string): Promise<void> {
  await ctx.deployment.part(part).kill()
  void noticeGone(ctx, part)
}

/** A router is noticed as leaving at once and as gone after it ended. */
async function stopPart(ctx: FaultContext, part: string): Promise<void> {
  const process = ctx.deployment.part(part)
  ctx.log.stops.push(eventNow(part))
  const noticed = delay(ctx.noticeAfterMs).then(() => {
    ctx.balancer.remove(part)
  })
  await process.stop()
  ctx.log.exits.push(eventNow(part))
  await noticed
  await removeInstance(ctx, part)
}

/** The balancer and the list notice late that a part is gone. */
async function noticeGone(ctx: FaultContext, part: string): Promise<void> {
  await delay(ctx.noticeAfterMs)
  ctx.balancer.remove(part)
  // The deployment may have been closed meanwhile.
  await removeInstance(ctx, part).catch(() => undefined)
}

async function removeInstance({ deployment }: FaultContext, id: string): Promise<void> {
  const path = `/admin/instances/${encodeURIComponent(id)}`
  await deployment.admin(deployment.platform, 'DELETE', path)
}

async function listedInstance(
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
  return done(() => {
    for (const relay of ctx.links.relays(link)) relay.set(PASS)
  })
}

function done(undo?: () => void): Promise<Undo> {
  if (!undo) return Promise.resolve(undefined)
  return Promise.resolve(() => {
    undo()
    return Promise.resolve()
  })
}
