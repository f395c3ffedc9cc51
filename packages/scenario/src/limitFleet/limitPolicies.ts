/** Ways to share the rate limit of a server among entry instances, compared in virtual time. */
import type { Clock, Random } from '@wagtailway/core'
import {
  ServerLimiter,
  ServerLimits,
  type BackendServer,
  type PermitMessage,
  type ReportedLimit,
} from '@wagtailway/gateway'

export interface GuardOptions {
  readonly name: string
  readonly clock: Clock
  readonly random: Random
  readonly after: (ms: number, action: () => void) => void
  /** Names of the live instances, this one included. */
  readonly instances: () => readonly string[]
  readonly fleetShare: () => number
  readonly onNews: () => void
  readonly send: (receiver: string, message: PermitMessage) => void
}

/** What an instance tells the others in its regular reports. */
export interface LimitReport {
  readonly limits: readonly ReportedLimit[]
  /** Requests that it sent to the server in the last window; only one policy tells them. */
  readonly sentCount?: number
}

/** What one entry instance does about the limit of the one server. */
export interface LimitGuard {
  /** Whether a request may be sent now; counts it as sent. */
  mayUse(): Promise<boolean>
  /** Records what the head of a response named. */
  observe(limit: number | undefined): void
  report(): LimitReport
  applyReport(sender: string, report: LimitReport): void
  applyMessage(sender: string, message: PermitMessage): void
}

/** Creates the guard of one entry instance. */
export type LimitPolicy = (opts: GuardOptions) => LimitGuard

export const LIMITED_SERVER: BackendServer = {
  id: 'i-0123456789',
  startedAtMs: 1,
  service: 'plain',
  host: 's1',
  port: 80,
  zone: 'z1',
  version: 'v1',
  slots: 6,
  isDraining: false,
}

const OK = 200
const URGENCY = 1

/** Window over which `reportedUse` counts requests, in milliseconds. */
const WINDOW_MS = 4_000

/** A guard that knows the limit and decides by `mayUse` alone. */
function createLocalGuard(
  { clock, onNews }: GuardOptions,
  mayUse: (requestsPerS: number) => boolean,
): LimitGuard {
  const limits = ServerLimits.create({
    clock,
    onChange: ({ source }) => {
      if (source === undefined) onNews()
    },
    onInvalid: () => undefined,
  })
  return {
    mayUse: () => {
      const limit = limits.find(LIMITED_SERVER)
      return Promise.resolve(!limit || mayUse(limit.requestsPerS))
    },
    observe: (limit) => {
      limits.observe(LIMITED_SERVER, limit)
    },
    report: () => ({ limits: limits.reported }),
    applyReport: (sender, report) => {
      limits.applyReport(sender, report.limits)
    },
    applyMessage: () => undefined,
  }
}

/** Sends every request. */
export const noLimit: LimitPolicy = (opts) => createLocalGuard(opts, () => true)

/** A token bucket that holds one permit and what a second brings. */
function createBucket(clock: Clock): (requestsPerS: number) => boolean {
  let permitCount = 0
  let filledAtMs = clock()
  return (requestsPerS) => {
    permitCount += ((clock() - filledAtMs) / 1_000) * requestsPerS
    filledAtMs = clock()
    permitCount = Math.min(permitCount, 1 + requestsPerS)
    if (permitCount < 1) return false
    permitCount -= 1
    return true
  }
}

/** Each instance uses an equal part of the limit. */
export const equalParts: LimitPolicy = (opts) => {
  const take = createBucket(opts.clock)
  return createLocalGuard(opts, (requestsPerS) =>
    take(requestsPerS / opts.instances().length),
  )
}

/** Only the first instance uses the server. */
export const oneOwner: LimitPolicy = (opts) => {
  const take = createBucket(opts.clock)
  return createLocalGuard(
    opts,
    (requestsPerS) => opts.instances().toSorted()[0] === opts.name && take(requestsPerS),
  )
}

/** Each instance tells how many requests it sent lately, and sends while the sum allows. */
export const reportedUse: LimitPolicy = (opts) => {
  const { clock } = opts
  let sentAtMs: number[] = []
  const peers = new Map<string, { readonly count: number; readonly atMs: number }>()
  const countOwn = (): number => {
    sentAtMs = sentAtMs.filter((atMs) => atMs > clock() - WINDOW_MS)
    return sentAtMs.length
  }
  const guard = createLocalGuard(opts, (requestsPerS) => {
    const recent = [...peers.values()].filter(({ atMs }) => atMs > clock() - WINDOW_MS)
    const used = recent.reduce((sum, { count }) => sum + count, countOwn())
    if (used >= (requestsPerS * WINDOW_MS) / 1_000) return false
    sentAtMs.push(clock())
    return true
  })
  return {
    ...guard,
    report: () => ({ ...guard.report(), sentCount: countOwn() }),
    applyReport: (sender, report) => {
      guard.applyReport(sender, report)
      peers.set(sender, { count: report.sentCount ?? 0, atMs: clock() })
    },
  }
}

/** One instance issues permits to those that ask, as the gateway does. */
export const permits: LimitPolicy = (opts) => {
  const { send, instances, onNews, ...rest } = opts
  const limiter = ServerLimiter.create({
    ...rest,
    issuers: instances,
    onChange: () => undefined,
    onInvalid: () => undefined,
  })
  limiter.onNews = onNews
  limiter.sendAsk = (issuer, ask) => {
    send(issuer, { type: 'ask', asker: opts.name, ask })
  }
  return {
    mayUse: async () => {
      const availability = limiter.availability(LIMITED_SERVER, URGENCY)
      if (availability === 'unlimited') return true
      if (availability === 'exhausted') return false
      return limiter.acquire(LIMITED_SERVER, URGENCY)
    },
    observe: (limit) => {
      limiter.observe(LIMITED_SERVER, OK, limit)
    },
    report: () => ({ limits: limiter.reported }),
    applyReport: (sender, { limits }) => {
      limiter.applyReport(sender, limits)
    },
    applyMessage: (sender, message) => {
      if (message.type === 'grant') {
        limiter.applyGrant(message.id, message.grant)
        return
      }
      const grant = limiter.answer(message.asker, message.ask)
      send(sender, { type: 'grant', id: message.ask.id, grant })
    },
  }
}

/** Policies to compare, by name. */
export const LIMIT_POLICIES: Readonly<Record<string, LimitPolicy>> = {
  none: noLimit,
  'equal parts': equalParts,
  'one owner': oneOwner,
  'reported use': reportedUse,
  permits,
}
