/** A model: runs one schedule and throws if a promise was broken. */
import type { Schedule } from './schedule.js'
import type { Sabotage } from './virtualPlatform.js'

/** Counts of what schedules brought about, to see that a hunt exercised anything. */
export type Tally = (event: string) => void

export interface ModelOptions {
  readonly schedule: Schedule
  readonly sabotage?: Sabotage
  readonly tally: Tally
}

export type Model = (opts: ModelOptions) => Promise<void>
