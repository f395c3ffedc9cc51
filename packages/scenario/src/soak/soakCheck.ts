/** Checks of the soak over what callers received and what backend servers ran. */
import type { ReplicaRun } from '@wagtailway/standins'
import { eventIds, type FleetResponse } from '../fleet/fleetClient.js'
import { worstWindow } from '../fleet/slidingWindow.js'
import type { Period } from './soakGateway.js'
import { LEAVE_BOUND_MS, type Leaver } from './soakLeavers.js'

/** One call: a request and the response that its caller received. */
export interface SoakCall {
  readonly id: string
  readonly kind: 'plain' | 'once' | 'stream'
  readonly path: string
  readonly response: FleetResponse
  /** Name of the gateway to which it was sent. */
  readonly gateway: string
  /** In milliseconds of `performance.now()`. */
  readonly sentAtMs: number
  readonly endedAtMs: number
}

/**
 * Period in which the store listed a replica as draining, in milliseconds of
 * `performance.now()`.
 */
export interface DrainPeriod {
  readonly replica: string
  readonly fromMs: number
  untilMs: number
}

/** A key that a newer configuration lacks. */
export interface RevokedKey {
  readonly key: string
  /** When that configuration was stored, in milliseconds of `performance.now()`. */
  readonly atMs: number
}

/** A request with a revoked key. */
export interface KeyProbe {
  readonly revoked: RevokedKey
  readonly sentAtMs: number
  readonly status: number
}

/** What requests under which replicas crash have in common: a prompt part, or their body. */
export interface BadTrait {
  readonly kind: 'part' | 'body'
  readonly value: string
}

/** The end of a replica under a request with a bad trait. */
export interface TraitCrash {
  readonly trait: BadTrait
  /** In milliseconds of `performance.now()`. */
  readonly atMs: number
}

/** Period in which a replica names a rate limit. */
export interface LimitPeriod {
  readonly replica: string
  readonly requestsPerS: number
  /** In milliseconds of `performance.now()`. */
  readonly fromMs: number
  untilMs: number
}

/** Requests a second that the soak's configuration names for a cold replica. */
export const COLD_PER_S = 6.7

/** Bound on requests to a cold replica in the settings of the soak's gateways. */
export const COLD_BOUND = { over: 1.5, slack: 5 }

const COLD_WINDOW_MS = 1_000

/** Period in which a replica is cold; a crash ends it. */
export interface ColdPeriod {
  readonly replica: string
  /** In milliseconds of `performance.now()`. */
  readonly fromMs: number
  untilMs: number
}

export interface SoakRecord {
  readonly calls: readonly SoakCall[]
  /** Runs of each replica, by the replica's id. */
  readonly runs: ReadonlyMap<string, readonly ReplicaRun[]>
  readonly drainPeriods: readonly DrainPeriod[]
  readonly keyProbes: readonly KeyProbe[]
  readonly traitCrashes: readonly TraitCrash[]
  readonly limitPeriods: readonly LimitPeriod[]
  readonly coldPeriods?: readonly ColdPeriod[]
  /** Arrivals of requests at each replica, by the replica's id. */
  readonly arrivals: ReadonlyMap<string, readonly number[]>
  readonly leavers?: readonly Leaver[]
  /**
   * Whether no fault disturbed the store or a gateway during a period. Only then do the
   * bounds on following the store apply.
   */
  readonly isUndisturbed: (fromMs: number, untilMs: number) => boolean
}

const EVENTS_PER_STREAM = 5

/**
 * Time within which all gateways must stop sending requests to a replica that the store
 * lists as draining, in milliseconds.
 */
const DRAIN_BOUND_MS = 2_000

/** Time within which all gateways must refuse a revoked key, in milliseconds. */
const REVOKE_BOUND_MS = 2_000

/** Crash under a trait from which on the requests with it are bounded. */
const BOUNDED_FROM_CRASH: Readonly<Record<BadTrait['kind'], number>> = {
  part: 5,
  body: 3,
}

/** Time after that crash from which the bound holds, in milliseconds. */
const CONTACT_MS = 3_000

/** Requests that a replica which names a limit may get in a window, by the promise. */
const LIMIT_WINDOW_MS = 4_000
const MAX_RATE_FACTOR = 1.5
const MAX_EXTRA_REQUESTS = 5

/** Requests of callers that have left which may still reach replicas, and go on there. */
const MAX_LATE_LEAVERS = 3
const MAX_RUNNING_RATIO = 0.25

/** Requests with the trait that may still reach a replica. */
const MAX_LATE_RUNS = 3

/**
 * Checks the promised properties of a run; returns each violation.
 *
 * @example
 * checkSoak(record) // [] if no promise was broken
 */
export function checkSoak(record: SoakRecord): string[] {
  const runCounts = new Map<string, number>()
  for (const run of [...record.runs.values()].flat()) {
    runCounts.set(run.requestId, (runCounts.get(run.requestId) ?? 0) + 1)
  }
  const findings = record.calls.flatMap((call) =>
    checkCall(call, runCounts.get(call.id) ?? 0).map((text) => `${call.id}: ${text}`),
  )
  return [
    ...findings,
    ...checkDrains(record),
    ...checkRevokedKeys(record),
    ...checkBadTraits(record),
    ...checkLimits(record),
    ...checkCold(record),
    ...checkLeavers(record),
  ]
}

/**
 * Checks that each request got an answer, but for those at a gateway while the soak kept it
 * from serving.
 *
 * @param downPeriods Periods of each gateway, by its name.
 *
 * @example
 * checkLost(calls, new Map([['n1', [{ fromMs: 800, untilMs: 5_100 }]]])) // [] if none was lost
 */
export function checkLost(
  calls: readonly SoakCall[],
  downPeriods: ReadonlyMap<string, readonly Period[]>,
): string[] {
  return [...downPeriods].flatMap(([name, periods]) => {
    const lost = calls.filter(
      ({ gateway, response, sentAtMs, endedAtMs }) =>
        gateway === name &&
        response.status === 0 &&
        !periods.some(
          ({ fromMs, untilMs }) => fromMs <= endedAtMs && untilMs >= sentAtMs,
        ),
    )
    const worst = Math.round(
      Math.max(...lost.map(({ sentAtMs, endedAtMs }) => endedAtMs - sentAtMs)),
    )
    const ids = lost.slice(0, 5).map(({ id }) => id)
    return lost.length > 0
      ? [
          `${name}: ${lost.length} requests without an answer, after ${worst} ms at most: ${ids.join(' ')}`,
        ]
      : []
  })
}

function checkCall({ kind, path, response }: SoakCall, runs: number): string[] {
  const findings: string[] = []
  if (kind === 'once' && runs > 1) findings.push(`ran ${runs} times`)
  if (kind === 'once' && response.status === 503 && runs > 0) {
    findings.push('was reported as not run but ran')
  }
  if ([400, 401, 403, 404].includes(response.status)) {
    findings.push(`was denied with ${response.status}`)
  }
  if (response.status !== 200) return findings
  if (kind === 'stream') findings.push(...checkEvents(response))
  else if (response.isWhole && !response.body.includes(` ${path} by `)) {
    findings.push(`got a wrong response: ${response.body}`)
  }
  return findings
}

function checkEvents({ body, isWhole }: FleetResponse): string[] {
  const ids = eventIds(body)
  const isInOrder = ids.every((id, i) => id === i + 1)
  if (!isInOrder) return [`events out of order: ${ids.join(' ')}`]
  return isWhole && ids.length !== EVENTS_PER_STREAM
    ? [`looked complete after ${ids.length} events`]
    : []
}

function checkDrains({ drainPeriods, runs, isUndisturbed }: SoakRecord): string[] {
  return drainPeriods.flatMap(({ replica, fromMs, untilMs }) =>
    (runs.get(replica) ?? [])
      .filter(({ atMs }) => atMs > fromMs + DRAIN_BOUND_MS && atMs < untilMs)
      .filter(({ atMs }) => isUndisturbed(fromMs, atMs))
      .map(({ requestId }) => `${requestId}: reached ${replica} while it was draining`),
  )
}

function checkRevokedKeys({ keyProbes, isUndisturbed }: SoakRecord): string[] {
  return keyProbes
    .filter(({ status }) => status === 200)
    .filter(({ revoked, sentAtMs }) => sentAtMs > revoked.atMs + REVOKE_BOUND_MS)
    .filter(({ revoked, sentAtMs }) => isUndisturbed(revoked.atMs, sentAtMs))
    .map(({ revoked, sentAtMs }) => {
      const lateMs = Math.round(sentAtMs - revoked.atMs)
      return `${revoked.key} was accepted ${lateMs} ms after it was revoked`
    })
}

/** Whether a run has a trait. */
export function hasTrait(
  { promptParts, body }: Pick<ReplicaRun, 'promptParts' | 'body'>,
  { kind, value }: BadTrait,
): boolean {
  return kind === 'part' ? promptParts.includes(value) : body === value
}

/** Checks that few requests with a trait reach replicas once some have crashed under it. */
function checkBadTraits({ traitCrashes, runs, isUndisturbed }: SoakRecord): string[] {
  const traits = new Set(traitCrashes.map(({ trait }) => trait))
  return [...traits].flatMap((trait) => {
    const crashes = traitCrashes.filter((crash) => crash.trait === trait)
    const boundedCrash = crashes[BOUNDED_FROM_CRASH[trait.kind] - 1]
    if (!boundedCrash) return []
    const fromMs = boundedCrash.atMs + CONTACT_MS
    const late = [...runs.values()]
      .flat()
      .filter((run) => hasTrait(run, trait) && run.atMs > fromMs)
      .filter(({ atMs }) => isUndisturbed(atMs - CONTACT_MS, atMs))
    const { kind, value } = trait
    return late.length > MAX_LATE_RUNS
      ? [
          `${late.length} requests with ${kind} ${value} reached replicas, ${crashes.length} crashed`,
        ]
      : []
  })
}

/** Checks that little is done for callers that have left. */
function checkLeavers({ leavers = [], runs }: SoakRecord): string[] {
  const counted = leavers.filter(({ isDisturbed }) => !isDisturbed)
  const leftAt = new Map(
    counted.flatMap(({ ids, leftAtMs }) => ids.map((id) => [id, leftAtMs] as const)),
  )
  const late = [...runs.values()].flat().filter(({ requestId, atMs }) => {
    const leftAtMs = leftAt.get(requestId)
    return leftAtMs !== undefined && atMs > leftAtMs + LEAVE_BOUND_MS
  })
  const runningCount = counted.flatMap(({ runningIds }) => runningIds).length
  const stillRunning = counted.flatMap(({ stillRunningIds }) => stillRunningIds)
  return [
    ...(late.length > MAX_LATE_LEAVERS
      ? [`${late.length} requests of callers that had left reached replicas`]
      : []),
    ...(stillRunning.length > runningCount * MAX_RUNNING_RATIO
      ? [
          `${stillRunning.length} of ${runningCount} requests ran on after their callers had left`,
        ]
      : []),
  ]
}

/** Checks that replicas which name a rate limit get no more requests than it allows. */
/** Requests to a cold replica count once all gateways may have learned that it is cold. */
function checkCold({ coldPeriods = [], arrivals, isUndisturbed }: SoakRecord): string[] {
  const allowed = COLD_PER_S * COLD_BOUND.over + COLD_BOUND.slack
  return coldPeriods.flatMap(({ replica, fromMs, untilMs }) => {
    const times = (arrivals.get(replica) ?? [])
      .filter((atMs) => atMs > fromMs + CONTACT_MS && atMs < untilMs)
      .filter((atMs) => isUndisturbed(atMs - CONTACT_MS, atMs))
    const worst = worstWindow(times, COLD_WINDOW_MS)
    return worst > allowed ? [`${worst} requests in 1 s reached ${replica}, cold`] : []
  })
}

function checkLimits({ limitPeriods, arrivals, isUndisturbed }: SoakRecord): string[] {
  return limitPeriods.flatMap(({ replica, requestsPerS, fromMs, untilMs }) => {
    const times = (arrivals.get(replica) ?? [])
      .filter((atMs) => atMs > fromMs + CONTACT_MS && atMs < untilMs)
      .filter((atMs) => isUndisturbed(atMs - CONTACT_MS, atMs))
    const worst = worstWindow(times, LIMIT_WINDOW_MS)
    const allowed =
      (MAX_RATE_FACTOR * requestsPerS * LIMIT_WINDOW_MS) / 1_000 + MAX_EXTRA_REQUESTS
    return worst > allowed
      ? [`${worst} requests in 4 s reached ${replica}, which named ${requestsPerS}/s`]
      : []
  })
}
