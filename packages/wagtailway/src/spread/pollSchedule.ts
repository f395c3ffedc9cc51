/** When a node asks the platform itself, and when it leaves that to others. */
import type { Clock } from '../clock.js'
import type { Random } from '../random.js'

/** Age of what others told at which a node asks the platform itself, in milliseconds. */
export const OWN_LOOK_AGE_MS = 4_000

const FIRST_BACKOFF_MS = 1_000
const LONGEST_BACKOFF_MS = 8_000

export interface LookScheduleOptions {
  readonly clock: Clock
  readonly random: Random
}

/**
 * Spaces out the looks of one node, wider and with jitter after failures.
 *
 * @example
 * const schedule = LookSchedule.create({ clock, random })
 * if (schedule.isDue(isWatcher, config.ageMs)) await look()
 */
export class LookSchedule {
  #failures = 0
  #notBeforeMs = Number.NEGATIVE_INFINITY
  #failedAtMs = Number.NEGATIVE_INFINITY

  private constructor(private readonly opts: LookScheduleOptions) {}

  static create(opts: LookScheduleOptions): LookSchedule {
    return new LookSchedule(opts)
  }

  /** Whether to ask the platform now. */
  isDue(isWatcher: boolean, ageMs: number): boolean {
    if (this.opts.clock() < this.#notBeforeMs) return false
    return isWatcher || ageMs >= OWN_LOOK_AGE_MS
  }

  /** Whether the latest attempt failed and is not long ago. */
  get hasJustFailed(): boolean {
    const sinceMs = this.opts.clock() - this.#failedAtMs
    return this.#failures > 0 && sinceMs <= LONGEST_BACKOFF_MS + OWN_LOOK_AGE_MS
  }

  succeeded(): void {
    this.#failures = 0
    this.#notBeforeMs = Number.NEGATIVE_INFINITY
  }

  failed(): void {
    const now = this.opts.clock()
    const longestMs = Math.min(LONGEST_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** this.#failures)
    this.#failures += 1
    this.#failedAtMs = now
    this.#notBeforeMs = now + longestMs * (0.5 + this.opts.random() / 2)
  }
}
