/** Choice of the backend server among the replicas of a version that have room. */
import type { Random } from '../random.js'

/** What a node knows of a replica when it chooses. */
export interface ReplicaView {
  readonly id: string
  readonly zone: string
  /** Requests of this node in progress at the replica. */
  readonly inFlight: number
  /** Queue length that the replica last reported. */
  readonly reportedLoad: number
  /** Age of that report in milliseconds. */
  readonly reportAgeMs: number
  /** Requests that this node started there since that report. */
  readonly startsSinceReport: number
}

export interface ReplicaQuery {
  readonly replicas: readonly ReplicaView[]
  readonly zone: string
  readonly random: Random
}

/** Chooses a replica; `undefined` if there is none. */
export type ReplicaPolicy = (query: ReplicaQuery) => ReplicaView | undefined

/** How heavy a replica's load is, in requests. */
export type LoadOf = (view: ReplicaView) => number

/** Load by the node's own count alone. */
export const ownLoad: LoadOf = ({ inFlight }) => inFlight

/** Load by the last report alone. */
export const reportedLoad: LoadOf = (view) => view.reportedLoad

/** Load by the last report and what this node has started since. */
export const correctedLoad: LoadOf = (view) => view.reportedLoad + view.startsSinceReport

/**
 * Takes the less loaded of two random replicas, so that nodes with the same
 * old reports don't all run to the same replica.
 *
 * @example
 * const policy = twoRandomChoices(ownLoad)
 * policy({ replicas, zone: 'a', random })?.id
 */
export function powerOfTwoChoices(load: LoadOf): ReplicaPolicy {
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
 * Takes the least loaded replica; among equals a random one.
 *
 * @example
 * leastLoaded(reportedLoad)({ replicas, zone: 'a', random })?.id
 */
export function leastLoaded(load: LoadOf): ReplicaPolicy {
  return ({ replicas, random }) => {
    const least = Math.min(...replicas.map(load))
    const best = replicas.filter((view) => load(view) === least)
    return best[Math.floor(random() * best.length)]
  }
}

/**
 * Takes the replicas in turn.
 *
 * @example
 * const policy = roundRobin()
 */
export function roundRobin(): ReplicaPolicy {
  let next = 0
  return ({ replicas }) => {
    const chosen = replicas[next % Math.max(1, replicas.length)]
    next += 1
    return chosen
  }
}
