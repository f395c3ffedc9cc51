/** Selection of a backend server among the replicas of a version that have room. */
import type { Random } from '../random.js'

/** State of a replica as known to the selecting node. */
export interface ReplicaView {
  readonly id: string
  readonly zone: string
  /** Number of this node's requests in progress at the replica. */
  readonly inFlight: number
  /** Queue length that the replica last reported. */
  readonly reportedLoad: number
  /** Age of the last report, in milliseconds. */
  readonly reportAgeMs: number
  /** Number of requests that this node started at the replica since the last report. */
  readonly startsSinceReport: number
}

export interface ReplicaQuery {
  readonly replicas: readonly ReplicaView[]
  readonly zone: string
  readonly random: Random
}

/** Selects a replica; `undefined` if there is none. */
export type ReplicaPolicy = (query: ReplicaQuery) => ReplicaView | undefined

/** Returns a replica's load, in requests. */
export type LoadFunction = (view: ReplicaView) => number

/** Number of this node's own requests in progress. */
export const ownLoad: LoadFunction = ({ inFlight }) => inFlight

/** Load as last reported by the replica. */
export const reportedLoad: LoadFunction = (view) => view.reportedLoad

/** Last reported load plus the requests that this node has started since. */
export const correctedLoad: LoadFunction = (view) =>
  view.reportedLoad + view.startsSinceReport

/**
 * Selects the less loaded of two random replicas, so that nodes with the same
 * stale reports don't all send to the same replica.
 *
 * @example
 * const policy = powerOfTwoChoices(ownLoad)
 * policy({ replicas, zone: 'a', random })?.id
 */
export function powerOfTwoChoices(load: LoadFunction): ReplicaPolicy {
  return ({ replicas, random }) => {
    const i = Math.floor(random() * replicas.length)
    const first = replicas[i]
    if (!first || replicas.length === 1) return first
    const step = 1 + Math.floor(random() * (replicas.length - 1))
    const second = replicas[(i + step) % replicas.length]
    return second && load(second) < load(first) ? second : first
  }
}

/**
 * Selects the least loaded replica; ties are broken at random.
 *
 * @example
 * leastLoaded(reportedLoad)({ replicas, zone: 'a', random })?.id
 */
export function leastLoaded(load: LoadFunction): ReplicaPolicy {
  return ({ replicas, random }) => {
    const least = Math.min(...replicas.map(load))
    const best = replicas.filter((view) => load(view) === least)
    return best[Math.floor(random() * best.length)]
  }
}

/**
 * Selects the replicas in turn.
 *
 * @example
 * const policy = roundRobin()
 */
export function roundRobin(): ReplicaPolicy {
  let next = 0
  return ({ replicas }) => {
    const selected = replicas[next % Math.max(1, replicas.length)]
    next += 1
    return selected
  }
}
