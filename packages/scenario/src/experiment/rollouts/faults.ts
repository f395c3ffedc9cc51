/** Faults of the new version in a rollout: when its quality falls and how far. */
import type { Random } from '@wagtailway/core'

const MINUTE_MS = 60_000

/** Time and traffic that the new version's quality depends on, besides the class. */
export interface RolloutMoment {
  readonly atMs: number
  /** Fraction of the traffic that the new version gets. */
  readonly share: number
}

export interface RolloutFault {
  /**
   * Draws the time at which the fault sets in, in milliseconds; once for each rollout.
   */
  readonly drawOnset: (random: Random) => number
  /**
   * Quality minus the class's target; negative if the version is bad. `goodMargin` is the
   * margin of the version while it is good.
   */
  readonly margin: (
    moment: RolloutMoment,
    onsetMs: number,
    goodMargin: number,
    classIndex: number,
  ) => number
  /** Whether ratings of responses sent at this time are lost. */
  readonly isRatingLostAt?: (atMs: number, onsetMs: number) => boolean
}

/** Quality minus the target after a collapse. */
const COLLAPSED_MARGIN = -0.35

/** Quality minus the target at the end of a drift. */
const DRIFTED_MARGIN = -0.3
const DRIFT_MS = 120 * MINUTE_MS

/** Fraction of the traffic from which a version that fails under load is bad. */
const LOADED_SHARE = 0.25
const LOADED_MARGIN = -0.15
const BAD_MARGIN = -0.15
const RATING_OUTAGE_MS = 40 * MINUTE_MS

function uniformOnset(minutes: number): (random: Random) => number {
  return (random) => random() * minutes * MINUTE_MS
}

/** A version whose quality stays above the target. */
export const NO_FAULT: RolloutFault = {
  drawOnset: () => 0,
  margin: (_moment, _onsetMs, good) => good,
}

function collapsingMargin(
  { atMs }: RolloutMoment,
  onsetMs: number,
  good: number,
): number {
  return atMs < onsetMs ? good : COLLAPSED_MARGIN
}

export const ROLLOUT_FAULTS: Readonly<Record<string, RolloutFault>> = {
  collapse: { drawOnset: uniformOnset(90), margin: collapsingMargin },
  'slow drift': {
    drawOnset: uniformOnset(60),
    margin: ({ atMs }, onsetMs, good) => {
      const progress = Math.min(1, Math.max(0, (atMs - onsetMs) / DRIFT_MS))
      return good + progress * (DRIFTED_MARGIN - good)
    },
  },
  'bad from the start': { drawOnset: () => 0, margin: () => BAD_MARGIN },
  'bad for one class': {
    drawOnset: () => 0,
    margin: (_moment, _onsetMs, good, index) => (index === 0 ? BAD_MARGIN : good),
  },
  'bad under load': {
    drawOnset: () => 0,
    margin: ({ share }, _onsetMs, good) => (share >= LOADED_SHARE ? LOADED_MARGIN : good),
  },
  'collapse unrated': {
    drawOnset: uniformOnset(30),
    margin: collapsingMargin,
    isRatingLostAt: (atMs, onsetMs) =>
      atMs >= onsetMs && atMs < onsetMs + RATING_OUTAGE_MS,
  },
}
