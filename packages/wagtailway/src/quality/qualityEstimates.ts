/** Estimates of quality, latency compliance and escalation for each class and plan. */
import { wallClock } from '../clock.js'
import { EvidenceTable, type EpochSums, type EvidenceCell } from './evidenceTable.js'
import {
  estimateScore,
  type ScoreEstimate,
  type ScorePrior,
  type ScoreSums,
} from './scoreEstimate.js'

/** The measures: rated quality, first token in time, escalation to the next cascade step. */
export type Measure = 'quality' | 'onTime' | 'escalated'

/** Estimates over all retained evidence and over the most recent epochs. */
export interface MeasureEstimate {
  /** Over all retained epochs; older evidence has less weight. */
  readonly longTerm: ScoreEstimate
  /** Over the most recent epochs only; shows changes early. */
  readonly recent: ScoreEstimate
}

export interface QualityEstimatesOptions {
  readonly evidence: EvidenceTable
  /**
   * Half-life of the weight of evidence, in epochs.
   * @default 36
   */
  readonly halfLifeEpochs?: number
}

/** Weight of the prior mean, as a number of scores. */
const PRIOR_WEIGHT = 5

/** Standard deviation of single scores assumed before there are any. */
const PRIOR_DEVIATION = 0.25

/** Number of epochs that count as recent, including the current one. */
const RECENT_EPOCHS = 2

const DEFAULT_HALF_LIFE_EPOCHS = 36

const NO_SCORES: ScoreSums = { count: 0, sum: 0, squares: 0 }

interface CachedEstimate {
  readonly changeCount: number
  readonly epoch: number
  readonly priorMean: number
  readonly estimate: MeasureEstimate
}

/**
 * Estimates computed from an evidence table.
 *
 * @example
 * const estimates = QualityEstimates.create({ evidence })
 * estimates.add('quality', 'kebele/dossier', 'summariser@v2', 0.9)
 * estimates.estimate('quality', 'kebele/dossier', 'summariser@v2', 0.8).longTerm.mean
 */
export class QualityEstimates {
  readonly #evidence: EvidenceTable
  readonly #halfLifeEpochs: number
  readonly #cache = new Map<string, CachedEstimate>()

  private constructor(opts: QualityEstimatesOptions) {
    this.#evidence = opts.evidence
    this.#halfLifeEpochs = opts.halfLifeEpochs ?? DEFAULT_HALF_LIFE_EPOCHS
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

  /** Merges evidence of other nodes. */
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
    const changeCount = this.#evidence.changeCountOf(subject)
    const epoch = this.#evidence.epoch
    const cached = this.#cache.get(subject)
    if (
      cached?.changeCount === changeCount &&
      cached.epoch === epoch &&
      cached.priorMean === priorMean
    ) {
      return cached.estimate
    }
    const estimate = this.#compute(subject, epoch, priorMean)
    this.#cache.set(subject, { changeCount, epoch, priorMean, estimate })
    return estimate
  }

  #compute(subject: string, epoch: number, priorMean: number): MeasureEstimate {
    const prior = priorOf(priorMean)
    const epochs = this.#evidence.sums(subject)
    const recent = epochs.filter((sums) => sums.epoch > epoch - RECENT_EPOCHS)
    return {
      longTerm: estimateScore(discount(epochs, epoch, this.#halfLifeEpochs), prior),
      recent: estimateScore(discount(recent, epoch, this.#halfLifeEpochs), prior),
    }
  }
}

/** Estimate before any score has been recorded. */
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

/** Sums over epochs, weighted with exponential decay by age. */
function discount(
  epochs: readonly EpochSums[],
  currentEpoch: number,
  halfLifeEpochs: number,
): ScoreSums {
  let count = 0
  let sum = 0
  let squares = 0
  for (const { epoch, values } of epochs) {
    const weight = 0.5 ** (Math.max(0, currentEpoch - epoch) / halfLifeEpochs)
    count += weight * (values[0] ?? 0)
    sum += weight * (values[1] ?? 0)
    squares += weight * (values[2] ?? 0)
  }
  return { count, sum, squares }
}
