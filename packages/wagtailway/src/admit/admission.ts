/** Admission policies, applied before any other work on a request. */
import type { Refusal } from '../refusal.js'
import { notRun } from '../refusal.js'

export interface AdmissionQuery {
  readonly workspace: string
  /** 0 is served last, 9 first. */
  readonly priority: number
  /** Number of requests in progress at this node. */
  readonly inProgress: number
}

/** Decides on one request; `undefined` admits it. */
export type AdmissionPolicy = (query: AdmissionQuery) => Refusal | undefined

/**
 * Refuses requests while `limit` or more are in progress.
 *
 * @example
 * const admit = concurrencyLimit(1_000)
 * admit({ workspace: 'kebele', priority: 5, inProgress: 10 }) // undefined
 */
export function concurrencyLimit(limit: number): AdmissionPolicy {
  return ({ inProgress }) =>
    inProgress < limit
      ? undefined
      : notRun('overloaded', 'This instance is busy; retry later.', 500)
}
