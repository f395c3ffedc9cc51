/** A model runs one schedule and throws if one of its guarantees was violated. */
import type { Schedule } from './schedule.js'
import type { StoreDefect } from './virtualPlatform.js'

/** Counts an event, to show what the schedules of a hunt exercised. */
export type Tally = (event: string) => void

export interface ModelOptions {
  readonly schedule: Schedule
  readonly storeDefect?: StoreDefect
  readonly tally: Tally
}

export type Model = (opts: ModelOptions) => Promise<void>
