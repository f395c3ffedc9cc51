/** Estimates of quality for each class and version from ratings. */
import type { Candidate } from '../config/effective.js'

export interface QualityEstimate {
  /** Expected quality in [0, 1]. */
  readonly mean: number
  /** Ratings behind the estimate. */
  readonly count: number
}

/** Weight of the owner's expected quality, in ratings. */
const PRIOR_WEIGHT = 5

interface Tally {
  count: number
  sum: number
}

/**
 * Ratings summed for each class and version.
 *
 * @example
 * const estimates = QualityEstimates.create()
 * estimates.rate('kebele/dossier', 'summariser@v2', 0.9)
 */
export class QualityEstimates {
  readonly #tallies = new Map<string, Tally>()

  static create(): QualityEstimates {
    return new QualityEstimates()
  }

  /** Adds one rating in [0, 1]. */
  rate(classKey: string, versionKey: string, score: number): void {
    const key = `${classKey} ${versionKey}`
    const tally = this.#tallies.get(key) ?? { count: 0, sum: 0 }
    tally.count += 1
    tally.sum += score
    this.#tallies.set(key, tally)
  }

  estimate(classKey: string, candidate: Candidate): QualityEstimate {
    const tally = this.#tallies.get(`${classKey} ${candidate.key}`)
    const count = tally?.count ?? 0
    const sum = (tally?.sum ?? 0) + PRIOR_WEIGHT * candidate.expectedQuality
    return { mean: sum / (count + PRIOR_WEIGHT), count }
  }
}
