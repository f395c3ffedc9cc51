/** How versions and cascades answer: quality, time to the first token, going up. */
import { seededRandom, versionCost, type Arm, type Random } from '@wagtailway/core'
import type { Qualities } from '../workloads.js'

/** One answer of an arm. */
export interface ModelAnswer {
  /** True quality in [0, 1]. */
  readonly quality: number
  readonly firstTokenMs: number
  readonly cost: number
  readonly hasEscalated: boolean
}

/** What an arm does on average. */
export interface ArmTruth {
  readonly quality: number
  readonly cost: number
  /** Part of the requests whose first token is in time. */
  readonly onTime: number
}

/** Spread of quality that all versions share, because a request is easy or hard for all. */
const SHARED_SPREAD = 0.15

/** Spread of quality of one version's answer by itself. */
const OWN_SPREAD = 0.12

/** Error of the acceptance rule's view of an answer. */
const ACCEPTANCE_ERROR = 0.1

/** Median time to the first token of the cheapest version, in milliseconds. */
const FIRST_TOKEN_MS = 90

/** How the median grows with the version's cost. */
const FIRST_TOKEN_GROWTH = 0.25
const FIRST_TOKEN_SPREAD = 0.35

/** Time of a whole answer relative to its first token, which a cascade waits for. */
const WHOLE_ANSWER_FACTOR = 5

const TRUTH_SAMPLES = 20_000
const TRUTH_SEED = 77

/**
 * Draws one answer.
 *
 * @param acceptFrom Quality from which the acceptance rule accepts, as it sees it.
 *
 * @example
 * drawAnswer(arm, qualities, 0.7, seededRandom(1)).quality
 */
export function drawAnswer(
  arm: Arm,
  qualities: Qualities,
  acceptFrom: number,
  random: Random,
): ModelAnswer {
  const ease = SHARED_SPREAD * normal(random)
  let cost = 0
  let waitedMs = 0
  for (const [i, step] of arm.steps.entries()) {
    cost += versionCost(step)
    const quality = clamp((qualities[step.key] ?? 0) + ease + OWN_SPREAD * normal(random))
    const firstTokenMs = drawFirstToken(versionCost(step), random)
    const isLast = i === arm.steps.length - 1
    const seen = quality + ACCEPTANCE_ERROR * normal(random)
    if (isLast || seen >= acceptFrom) {
      // A step that might be rejected is held back until it is whole.
      const heldMs = isLast ? firstTokenMs : firstTokenMs * WHOLE_ANSWER_FACTOR
      return { quality, firstTokenMs: waitedMs + heldMs, cost, hasEscalated: i > 0 }
    }
    waitedMs += firstTokenMs * WHOLE_ANSWER_FACTOR
  }
  throw new Error('An arm needs a step.')
}

/**
 * Computes an arm's averages by sampling, the same for every caller.
 *
 * @example
 * armTruth(arm, qualities, 0.7, 1_000).onTime
 */
export function armTruth(
  arm: Arm,
  qualities: Qualities,
  acceptFrom: number,
  firstTokenMs: number,
): ArmTruth {
  const random = seededRandom(TRUTH_SEED)
  let quality = 0
  let cost = 0
  let onTime = 0
  for (let i = 0; i < TRUTH_SAMPLES; i++) {
    const answer = drawAnswer(arm, qualities, acceptFrom, random)
    quality += answer.quality
    cost += answer.cost
    onTime += answer.firstTokenMs <= firstTokenMs ? 1 : 0
  }
  return {
    quality: quality / TRUTH_SAMPLES,
    cost: cost / TRUTH_SAMPLES,
    onTime: onTime / TRUTH_SAMPLES,
  }
}

/** A standard normal number by the method of Box and Muller. */
export function normal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()))
  return radius * Math.cos(2 * Math.PI * random())
}

export function clamp(value: number): number {
  return Math.min(1, Math.max(0, value))
}

function drawFirstToken(cost: number, random: Random): number {
  const median = FIRST_TOKEN_MS * (1 + FIRST_TOKEN_GROWTH * cost)
  return median * Math.exp(FIRST_TOKEN_SPREAD * normal(random))
}
