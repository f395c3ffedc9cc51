/** When a node polls the platform itself instead of relying on its peers. */
import type { Clock } from '../clock.js'
import type { Random } from '../random.js'

/**
 * Age of a node's newest information, usually from peers, from which it polls the platform
 * itself even if it isn't a watcher, in milliseconds.
 */
export const DIRECT_POLL_AGE_MS = 4_000

const INITIAL_BACKOFF_MS = 1_000
const MAX_BACKOFF_MS = 8_000

export interface PollScheduleOptions {
  readonly clock: Clock
  readonly random: Random
}

/**
 * Schedules one node's polls of the platform, with exponential backoff and jitter after
 * failures.
 *
 * @example
 * const schedule = PollSchedule.create({ clock, random })
 * if (schedule.isDue(isWatcher, config.ageMs)) await poll()
 */
export class PollSchedule {
  #failures = 0
  #nextPollAtMs = Number.NEGATIVE_INFINITY
  #failedAtMs = Number.NEGATIVE_INFINITY

  private constructor(private readonly opts: PollScheduleOptions) {}

  static create(opts: PollScheduleOptions): PollSchedule {
    return new PollSchedule(opts)
  }

  /** Whether to poll the platform now. */
  isDue(isWatcher: boolean, ageMs: number): boolean {
    if (this.opts.clock() < this.#nextPollAtMs) return false
    return isWatcher || ageMs >= DIRECT_POLL_AGE_MS
  }

  /** Whether the latest poll failed and did so recently. */
  get hasFailedRecently(): boolean {
    const sinceFailureMs = this.opts.clock() - this.#failedAtMs
    return this.#failures > 0 && sinceFailureMs <= MAX_BACKOFF_MS + DIRECT_POLL_AGE_MS
  }

  recordSuccess(): void {
    this.#failures = 0
    this.#nextPollAtMs = Number.NEGATIVE_INFINITY
  }

  recordFailure(): void {
    const now = this.opts.clock()
    const backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** this.#failures)
    this.#failures += 1
    this.#failedAtMs = now
    this.#nextPollAtMs = now + backoffMs * (0.5 + this.opts.random() / 2)
  }
}
