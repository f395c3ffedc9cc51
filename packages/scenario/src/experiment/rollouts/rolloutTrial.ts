/** One roll-out in virtual time: requests, answers of the new version, late ratings. */
import { VirtualClock, seededRandom, type Random } from '@wagtailway/core'
import type { Workload } from '../workloads.js'
import type { RolloutFault } from './faults.js'
import type { RolloutPolicy } from './rolloutPolicies.js'

export interface RolloutTrialOptions {
  readonly workload: Workload
  readonly fault: RolloutFault
  readonly policy: RolloutPolicy
  readonly seed: number
  /**
   * Length of the trial in minutes.
   * @default 180
   */
  readonly minutes?: number
}

export interface RolloutOutcome {
  /** Callers that got an answer while the new version was below the target. */
  readonly exposed: number
  /** Whether the version was withdrawn. */
  readonly isWithdrawn: boolean
  /** Whether it was ever below a target. */
  readonly wasBad: boolean
  /** Whether the version got all of the traffic. */
  readonly isComplete: boolean
  /** When the version got all of the traffic, in minutes; the whole trial if never. */
  readonly completeMinutes: number
}

const TICK_MS = 1_000
const MINUTE_MS = 60_000
const DEFAULT_MINUTES = 180

/** Requests a second over all classes. */
const RATE = 20

/** Mean time until a rating comes, in milliseconds. */
const RATING_DELAY_MS = 20_000

/** Time until the evidence of all nodes is merged, in milliseconds. */
const MERGE_MS = 3_000

/** Part of the requested ratings that never come. */
const RATING_MISSING = 0.1

/** Grades of a rating besides zero; fewer are noisier. */
const GRADES = 4

/** How far above the target a good version is. */
const LEAST_MARGIN = 0.02
const MARGIN_SPREAD = 0.1

interface PendingRating {
  readonly dueMs: number
  readonly classKey: string
  readonly score: number
}

/**
 * Runs one roll-out to its withdrawal or to the end of the trial.
 *
 * @example
 * runRollout({ workload, fault, policy, seed: 1 }).exposed
 */
export function runRollout(opts: RolloutTrialOptions): RolloutOutcome {
  const { workload, fault } = opts
  const durationMs = (opts.minutes ?? DEFAULT_MINUTES) * MINUTE_MS
  const random = seededRandom(opts.seed)
  const clock = VirtualClock.create()
  const onsetMs = fault.drawOnset(random)
  const good = LEAST_MARGIN + MARGIN_SPREAD * random()
  const targets = Object.fromEntries(
    workload.classes.map(({ key, cls }) => [key, cls.quality.target]),
  )
  const driver = opts.policy({ clock: clock.now, targets })
  const weights = workload.classes.reduce((sum, { weight }) => sum + weight, 0)
  let pending: PendingRating[] = []
  let exposed = 0
  let wasBad = false
  let completeMs = durationMs
  for (; clock.now() < durationMs && !driver.isWithdrawn; clock.advance(TICK_MS)) {
    const atMs = clock.now()
    pending = deliver(pending, atMs)
    driver.tick()
    const { share } = driver
    if (driver.isComplete) completeMs = Math.min(completeMs, atMs)
    for (const [i, { key, cls, weight }] of workload.classes.entries()) {
      const margin = fault.margin({ atMs, share }, onsetMs, good, i)
      const quality = Math.min(1, Math.max(0, cls.quality.target + margin))
      const count = poisson((RATE * weight * share) / weights, random)
      wasBad ||= margin < 0
      if (margin < 0) exposed += count
      for (let n = 0; n < count; n++) answer(key, quality, atMs)
    }
  }
  const { isWithdrawn } = driver
  const isComplete = completeMs < durationMs
  const completeMinutes = completeMs / MINUTE_MS
  return { exposed, isWithdrawn, wasBad, isComplete, completeMinutes }

  function answer(classKey: string, quality: number, atMs: number): void {
    driver.exposed(classKey)
    const isRated = random() < driver.ratingSample * (1 - RATING_MISSING)
    if (!isRated || (fault.isLostAt?.(atMs, onsetMs) ?? false)) return
    const delayMs = MERGE_MS - RATING_DELAY_MS * Math.log(1 - random())
    pending.push({ dueMs: atMs + delayMs, classKey, score: drawScore(quality, random) })
  }

  function deliver(ratings: PendingRating[], atMs: number): PendingRating[] {
    for (const { dueMs, classKey, score } of ratings) {
      if (dueMs <= atMs) driver.rated(classKey, score)
    }
    return ratings.filter(({ dueMs }) => dueMs > atMs)
  }
}

/** A rating in a few grades whose mean is the quality. */
function drawScore(quality: number, random: Random): number {
  let score = 0
  for (let i = 0; i < GRADES; i++) score += random() < quality ? 1 / GRADES : 0
  return score
}

function poisson(mean: number, random: Random): number {
  const limit = Math.exp(-mean)
  let product = random()
  let count = 0
  while (product > limit) {
    product *= random()
    count += 1
  }
  return count
}
