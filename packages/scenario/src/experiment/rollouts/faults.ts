/** How the new version of a roll-out turns bad. */
import type { Random } from '@wagtailway/core'

const MINUTE_MS = 60_000

/** What decides the new version's quality besides its class. */
export interface Moment {
  readonly atMs: number
  /** Part of the traffic that it gets. */
  readonly share: number
}

export interface RolloutFault {
  /** When it strikes, drawn once for each roll-out. */
  readonly drawOnset: (random: Random) => number
  /** Quality relative to the class's target. */
  readonly margin: (
    moment: Moment,
    onsetMs: number,
    good: number,
    classIndex: number,
  ) => number
  /** Whether answers given at this time are never rated. */
  readonly isLostAt?: (atMs: number, onsetMs: number) => boolean
}

/** Quality relative to the target after a collapse. */
const COLLAPSED = -0.35

/** Quality relative to the target at the end of a drift. */
const DRIFTED = -0.3
const DRIFT_MS = 120 * MINUTE_MS

/** Share from which a version that can't stand load is bad. */
const LOADED_SHARE = 0.25
const OVERLOADED = -0.15
const BAD = -0.15
const OUTAGE_MS = 40 * MINUTE_MS

function within(minutes: number): (random: Random) => number {
  return (random) => random() * minutes * MINUTE_MS
}

/** A version that stays good. */
export const GOOD: RolloutFault = {
  drawOnset: () => 0,
  margin: (_moment, _onsetMs, good) => good,
}

function collapse({ atMs }: Moment, onsetMs: number, good: number): number {
  return atMs < onsetMs ? good : COLLAPSED
}

export const ROLLOUT_FAULTS: Readonly<Record<string, RolloutFault>> = {
  collapse: { drawOnset: within(90), margin: collapse },
  'slow drift': {
    drawOnset: within(60),
    margin: ({ atMs }, onsetMs, good) => {
      const progress = Math.min(1, Math.max(0, (atMs - onsetMs) / DRIFT_MS))
      return good + progress * (DRIFTED - good)
    },
  },
  'bad from the start': { drawOnset: () => 0, margin: () => BAD },
  'bad for one class': {
    drawOnset: () => 0,
    margin: (_moment, _onsetMs, good, classIndex) => (classIndex === 0 ? BAD : good),
  },
  'bad under load': {
    drawOnset: () => 0,
    margin: ({ share }, _onsetMs, good) => (share >= LOADED_SHARE ? OVERLOADED : good),
  },
  'collapse unrated': {
    drawOnset: within(30),
    margin: collapse,
    isLostAt: (atMs, onsetMs) => atMs >= onsetMs && atMs < onsetMs + OUTAGE_MS,
  },
}
