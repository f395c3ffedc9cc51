/**
 * One rollout in virtual time: requests, responses of the new version, delayed ratings.
 */
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
  /** Number of responses from the new version while it was below the target. */
  readonly exposed: number
  /** Whether the version was withdrawn. */
  readonly isWithdrawn: boolean
  /** Whether the version was ever below a target. */
  readonly wasBad: boolean
  /** Whether the version got all of the traffic. */
  readonly isComplete: boolean
  /** When the version got all of the traffic, in minutes; the whole trial if never. */
  readonly completeMinutes: number
}

const TICK_MS = 1_000
const MINUTE_MS = 60_000
const DEFAULT_MINUTES = 180

/** Requests per second over all classes. */
const REQUESTS_PER_SECOND = 20

/** Mean time until a rating arrives, in milliseconds. */
const RATING_DELAY_MS = 20_000

/** Time until a rating is merged into the evidence of all nodes, in milliseconds. */
const MERGE_DELAY_MS = 3_000

/** Fraction of the requested ratings that never arrive. */
const RATING_LOSS = 0.1

/** Number of rating grades above zero; with fewer grades a rating is noisier. */
const GRADES = 4

/** A good version is above the target by the minimum plus up to the range. */
const MIN_GOOD_MARGIN = 0.02
const GOOD_MARGIN_RANGE = 0.1

interface PendingRating {
  readonly dueMs: number
  readonly classKey: string
  readonly score: number
}

/**
 * Runs one rollout until its withdrawal or the end of the trial.
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
  const goodMargin = MIN_GOOD_MARGIN + GOOD_MARGIN_RANGE * random()
  const targets = Object.fromEntries(
    workload.classes.map(({ key, cls }) => [key, cls.quality.target]),
  )
  const driver = opts.policy({ clock: clock.now, targets })
  const totalWeight = workload.classes.reduce((sum, { weight }) => sum + weight, 0)
  let pending: PendingRating[] = []
  let exposed = 0
  let wasBad = false
  let completeMs = durationMs
  for (; clock.now() < durationMs && !driver.isWithdrawn; clock.advance(TICK_MS)) {
    const atMs = clock.now()
    pending = deliverDueRatings(pending, atMs)
    driver.tick()
    const { share } = driver
    if (driver.isComplete) completeMs = Math.min(completeMs, atMs)
    for (const [i, { key, cls, weight }] of workload.classes.entries()) {
      const margin = fault.margin({ atMs, share }, onsetMs, goodMargin, i)
      const quality = Math.min(1, Math.max(0, cls.quality.target + margin))
      const count = poisson((REQUESTS_PER_SECOND * weight * share) / totalWeight, random)
      wasBad ||= margin < 0
      if (margin < 0) exposed += count
      for (let n = 0; n < count; n++) recordResponse(key, quality, atMs)
    }
  }
  const { isWithdrawn } = driver
  const isComplete = completeMs < durationMs
  const completeMinutes = completeMs / MINUTE_MS
  return { exposed, isWithdrawn, wasBad, isComplete, completeMinutes }

  function recordResponse(classKey: string, quality: number, atMs: number): void {
    driver.recordExposure(classKey)
    const isRated = random() < driver.ratingSample * (1 - RATING_LOSS)
    if (!isRated || (fault.isRatingLostAt?.(atMs, onsetMs) ?? false)) return
    const delayMs = MERGE_DELAY_MS - RATING_DELAY_MS * Math.log(1 - random())
    pending.push({ dueMs: atMs + delayMs, classKey, score: drawScore(quality, random) })
  }

  function deliverDueRatings(ratings: PendingRating[], atMs: number): PendingRating[] {
    for (const { dueMs, classKey, score } of ratings) {
      if (dueMs <= atMs) driver.recordRating(classKey, score)
    }
    return ratings.filter(({ dueMs }) => dueMs > atMs)
  }
}

/** Draws a rating in discrete grades whose expected value is the quality. */
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
