/** Runs a model under many random schedules and shrinks the first one that fails. */
import fc from 'fast-check'
import { claimsModel } from './models/claims.js'
import { leaseModel } from './models/lease.js'
import { ledgerModel } from './models/ledger.js'
import { sessionsModel } from './models/sessions.js'
import type { Model } from './model.js'
import { schedules } from './schedule.js'
import type { Sabotage } from './virtualPlatform.js'

export const MODELS = {
  claims: claimsModel,
  lease: leaseModel,
  ledger: ledgerModel,
  sessions: sessionsModel,
} satisfies Record<string, Model>

export type ModelName = keyof typeof MODELS

export interface HuntOptions {
  readonly model: ModelName
  /** Schedules to run. */
  readonly runs: number
  readonly seed: number
  /**
   * Whether a failing schedule is made as small as can be.
   * @default true
   */
  readonly shrinks?: boolean
  readonly sabotage?: Sabotage
}

export interface HuntReport {
  readonly runs: number
  /** Counts of what the schedules brought about. */
  readonly events: ReadonlyMap<string, number>
  /** The smallest failing schedule and how it fails; absent if all passed. */
  readonly failure?: string
}

/**
 * Hunts for a schedule that breaks a promise.
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
    const { sabotage } = opts
    await model({ schedule, tally, ...(sabotage && { sabotage }) })
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
