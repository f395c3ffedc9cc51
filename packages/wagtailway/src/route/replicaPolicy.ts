/** Choice of the backend server among the live replicas of a version. */
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
}

export interface ReplicaQuery {
  readonly replicas: readonly ReplicaView[]
  readonly zone: string
  readonly random: Random
}

/** Chooses a replica; `undefined` if there is none. */
export type ReplicaPolicy = (query: ReplicaQuery) => ReplicaView | undefined

/**
 * Takes the less loaded of two random replicas by the node's own count.
 *
 * @example
 * twoRandomChoices({ replicas, zone: 'a', random })?.id
 */
export const twoRandomChoices: ReplicaPolicy = ({ replicas, random }) => {
  const first = replicas[Math.floor(random() * replicas.length)]
  const second = replicas[Math.floor(random() * replicas.length)]
  if (!first || !second) return undefined
  return second.inFlight < first.inFlight ? second : first
}
