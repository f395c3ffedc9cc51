/** Estimates of quality, punctuality and escalations for each class and plan. */
import { wallClock } from '../clock.js'
import { EvidenceTable, type EpochSums, type EvidenceCell } from './evidenceTable.js'
import {
  estimateScore,
  type ScoreEstimate,
  type ScorePrior,
  type ScoreSums,
} from './scoreEstimate.js'

/** What is measured: rated quality, first token in time, next cascade step needed. */
export type Measure = 'quality' | 'onTime' | 'escalated'

/** An estimate over all kept evidence and one over the newest only. */
export interface MeasureEstimate {
  /** Older evidence counts less. */
  readonly longTerm: ScoreEstimate
  /** Only the newest epochs count; tells a change early. */
  readonly recent: ScoreEstimate
}

export interface QualityEstimatesOptions {
  readonly evidence: EvidenceTable
  /**
   * Epochs after which evidence counts half.
   * @default 36
   */
  readonly halfLifeEpochs?: number
}

/** Weight of the owner's expected quality, in ratings. */
const PRIOR_WEIGHT = 5

/** Standard deviation of single ratings that is assumed before there are any. */
const PRIOR_DEVIATION = 0.25

/** Epochs that count as recent, the present one included. */
const RECENT_EPOCHS = 2

const DEFAULT_HALF_LIFE_EPOCHS = 36

const NO_SCORES: ScoreSums = { count: 0, sum: 0, squares: 0 }

interface CachedEstimate {
  readonly changes: number
  readonly epoch: number
  readonly priorMean: number
  readonly estimate: MeasureEstimate
}

/**
 * Estimates from merged evidence.
 *
 * @example
 * const estimates = QualityEstimates.create({ evidence })
 * estimates.add('quality', 'kebele/dossier', 'summariser@v2', 0.9)
 * estimates.estimate('quality', 'kebele/dossier', 'summariser@v2', 0.8).lasting.mean
 */
export class QualityEstimates {
  readonly #evidence: EvidenceTable
  readonly #halfLife: number
  readonly #cache = new Map<string, CachedEstimate>()

  private constructor(opts: QualityEstimatesOptions) {
    this.#evidence = opts.evidence
    this.#halfLife = opts.halfLifeEpochs ?? DEFAULT_HALF_LIFE_EPOCHS
  }

  static create(
    opts: QualityEstimatesOptions = {
      evidence: EvidenceTable.create({ source: 'local', clock: wallClock }),
    },
  ): QualityEstimates {
    return new QualityEstimates(opts)
  }

  /** Adds one score in [0, 1]. */
  add(measure: Measure, classKey: string, planKey: string, score: number): void {
    this.#evidence.add(subjectOf(measure, classKey, planKey), [1, score, score ** 2])
  }

  /** Takes over evidence of other nodes. */
  merge(cells: Iterable<EvidenceCell>): void {
    this.#evidence.merge(cells)
  }

  estimate(
    measure: Measure,
    classKey: string,
    planKey: string,
    priorMean: number,
  ): MeasureEstimate {
    const subject = subjectOf(measure, classKey, planKey)
    const changes = this.#evidence.changesOf(subject)
    const epoch = this.#evidence.epoch
    const known = this.#cache.get(subject)
    if (
      known?.changes === changes &&
      known.epoch === epoch &&
      known.priorMean === priorMean
    ) {
      return known.estimate
    }
    const estimate = this.#compute(subject, epoch, priorMean)
    this.#cache.set(subject, { changes, epoch, priorMean, estimate })
    return estimate
  }

  #compute(subject: string, epoch: number, priorMean: number): MeasureEstimate {
    const prior = priorOf(priorMean)
    const epochs = this.#evidence.sums(subject)
    const recent = epochs.filter((sums) => sums.epoch > epoch - RECENT_EPOCHS)
    return {
      longTerm: estimateScore(discount(epochs, epoch, this.#halfLife), prior),
      recent: estimateScore(discount(recent, epoch, this.#halfLife), prior),
    }
  }
}

/** The estimate before any score arrives. */
export function priorEstimate(mean: number): MeasureEstimate {
  const estimate = estimateScore(NO_SCORES, priorOf(mean))
  return { longTerm: estimate, recent: estimate }
}

function priorOf(mean: number): ScorePrior {
  return { mean, weight: PRIOR_WEIGHT, deviation: PRIOR_DEVIATION }
}

function subjectOf(measure: Measure, classKey: string, planKey: string): string {
  return `${measure} ${classKey} ${planKey}`
}

/** Sums in which evidence counts half after each half-life. */
function discount(
  epochs: readonly EpochSums[],
  present: number,
  halfLife: number,
): ScoreSums {
  let count = 0
  let sum = 0
  let squares = 0
  for (const { epoch, values } of epochs) {
    const weight = 0.5 ** (Math.max(0, present - epoch) / halfLife)
    count += weight * (values[0] ?? 0)
    sum += weight * (values[1] ?? 0)
    squares += weight * (values[2] ?? 0)
  }
  return { count, sum, squares }
}
