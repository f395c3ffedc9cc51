/**
 * Simulated outputs of versions and cascades: quality, time to first token, escalation.
 */
import { seededRandom, versionCost, type Arm, type Random } from '@wagtailway/core'
import type { Qualities } from '../workloads.js'

/** One output of an arm. */
export interface SimulatedOutput {
  /** True quality in [0, 1]. */
  readonly quality: number
  readonly firstTokenMs: number
  readonly cost: number
  readonly hasEscalated: boolean
}

/** True averages of an arm. */
export interface ArmTruth {
  readonly quality: number
  readonly cost: number
  /** Fraction of the requests whose first token is on time. */
  readonly onTime: number
}

/**
 * Standard deviation of the quality from the difficulty of a request, which is the same
 * for all versions.
 */
const SHARED_STD_DEV = 0.15

/** Standard deviation of the quality of a single version's output. */
const OWN_STD_DEV = 0.12

/**
 * Standard deviation of the acceptance rule's error in estimating an output's quality.
 */
const ACCEPTANCE_STD_DEV = 0.1

/** Median time to first token of a version at cost zero, in milliseconds. */
const FIRST_TOKEN_MS = 90

/** Relative increase of the median per unit of the version's cost. */
const FIRST_TOKEN_COST_FACTOR = 0.25
const FIRST_TOKEN_SPREAD = 0.35

/**
 * Time until an output is complete relative to its time to first token; a cascade waits
 * for the complete output before it accepts or escalates.
 */
const WHOLE_OUTPUT_FACTOR = 5

const TRUTH_SAMPLES = 20_000
const TRUTH_SEED = 77

/**
 * Draws one output.
 *
 * @param acceptanceThreshold Perceived quality from which the acceptance rule accepts an
 *   output.
 *
 * @example
 * drawOutput(arm, qualities, 0.7, seededRandom(1)).quality
 */
export function drawOutput(
  arm: Arm,
  qualities: Qualities,
  acceptanceThreshold: number,
  random: Random,
): SimulatedOutput {
  const sharedDeviation = SHARED_STD_DEV * standardNormal(random)
  let cost = 0
  let waitedMs = 0
  for (const [i, step] of arm.steps.entries()) {
    cost += versionCost(step)
    const quality = clamp(
      (qualities[step.key] ?? 0) + sharedDeviation + OWN_STD_DEV * standardNormal(random),
    )
    const firstTokenMs = drawFirstToken(versionCost(step), random)
    const isLast = i === arm.steps.length - 1
    const perceivedQuality = quality + ACCEPTANCE_STD_DEV * standardNormal(random)
    if (isLast || perceivedQuality >= acceptanceThreshold) {
      // The output of a step that may be rejected is withheld until it is complete.
      const visibleAfterMs = isLast ? firstTokenMs : firstTokenMs * WHOLE_OUTPUT_FACTOR
      return {
        quality,
        firstTokenMs: waitedMs + visibleAfterMs,
        cost,
        hasEscalated: i > 0,
      }
    }
    waitedMs += firstTokenMs * WHOLE_OUTPUT_FACTOR
  }
  throw new Error('An arm must have at least one step.')
}

/**
 * Computes an arm's averages by sampling with a fixed seed, so that they are
 * reproducible.
 *
 * @example
 * armTruth(arm, qualities, 0.7, 1_000).onTime
 */
export function armTruth(
  arm: Arm,
  qualities: Qualities,
  acceptanceThreshold: number,
  firstTokenMs: number,
): ArmTruth {
  const random = seededRandom(TRUTH_SEED)
  let quality = 0
  let cost = 0
  let onTime = 0
  for (let i = 0; i < TRUTH_SAMPLES; i++) {
    const output = drawOutput(arm, qualities, acceptanceThreshold, random)
    quality += output.quality
    cost += output.cost
    onTime += output.firstTokenMs <= firstTokenMs ? 1 : 0
  }
  return {
    quality: quality / TRUTH_SAMPLES,
    cost: cost / TRUTH_SAMPLES,
    onTime: onTime / TRUTH_SAMPLES,
  }
}

/** Draws a standard normal number by the Box-Muller transform. */
export function standardNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()))
  return radius * Math.cos(2 * Math.PI * random())
}

export function clamp(value: number): number {
  return Math.min(1, Math.max(0, value))
}

function drawFirstToken(cost: number, random: Random): number {
  const median = FIRST_TOKEN_MS * (1 + FIRST_TOKEN_COST_FACTOR * cost)
  return median * Math.exp(FIRST_TOKEN_SPREAD * standardNormal(random))
}
