/** Runs a model under many random schedules and shrinks the first one that fails. */
import fc from 'fast-check'
import { claimsModel } from './models/claims.js'
import { leaseModel } from './models/lease.js'
import { ledgerModel } from './models/ledger.js'
import { permits } from '../limitFleet/limitPolicies.js'
import { createLimitsModel } from './models/limits.js'
import { sessionsModel } from './models/sessions.js'
import type { Model } from './model.js'
import { schedules } from './schedule.js'
import type { StoreDefect } from './virtualPlatform.js'

export const MODELS = {
  claims: claimsModel,
  lease: leaseModel,
  ledger: ledgerModel,
  limits: createLimitsModel(permits),
  sessions: sessionsModel,
} satisfies Record<string, Model>

export type ModelName = keyof typeof MODELS

export interface HuntOptions {
  readonly model: ModelName
  /** Number of schedules to run. */
  readonly runs: number
  readonly seed: number
  /**
   * Whether a failing schedule is shrunk to a minimal counterexample.
   * @default true
   */
  readonly shrinks?: boolean
  /** Defect that the object store is given; none if absent. */
  readonly storeDefect?: StoreDefect
}

export interface HuntReport {
  /** Number of schedules that were run. */
  readonly runs: number
  /** How often each event occurred, by the event's name. */
  readonly events: ReadonlyMap<string, number>
  /** The error and the schedule that causes it, shrunk if asked for; absent if all passed. */
  readonly failure?: string
}

/**
 * Searches for a schedule under which a model's guarantees are violated.
 *
 * @example
 * const { failure } = await hunt({ model: 'ledger', runs: 10_000, seed: 1 })
 */
export async function hunt(opts: HuntOptions): Promise<HuntReport> {
  const events = new Map<string, number>()
  const tally = (event: string): void => {
    events.set(event, (events.get(event) ?? 0) + 1)
  }
  const model: Model = MODELS[opts.model]
  const property = fc.asyncProperty(schedules, async (schedule) => {
    const { storeDefect } = opts
    await model({ schedule, tally, ...(storeDefect && { storeDefect }) })
  })
  const details = await fc.check(property, {
    numRuns: opts.runs,
    seed: opts.seed,
    endOnFailure: opts.shrinks === false,
  })
  const report = { runs: details.numRuns, events }
  if (!details.failed) return report
  const example = JSON.stringify(details.counterexample?.[0])
  return { ...report, failure: `${String(details.errorInstance)}\n${example}` }
}
