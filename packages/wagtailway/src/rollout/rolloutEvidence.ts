/** Evidence about the new version of a rollout, by class. */
import type { EpochSums, EvidenceTable } from '../quality/evidenceTable.js'
import {
  estimateScore,
  type ScoreEstimate,
  type ScoreSums,
} from '../quality/scoreEstimate.js'
import { BETTOR_COUNT, logWealthIncrements, wealthAgainstFloor } from './bettingTest.js'

/** Length of an epoch of rollout evidence, in milliseconds. */
export const ROLLOUT_EPOCH_MS = 30_000

/** Number of epochs for which rollout evidence is retained; one day. */
export const ROLLOUT_RETENTION_EPOCHS = 2_880

/** Indexes into the values of an evidence cell. */
const EXPOSED = 0
const RATED = 1
const SCORE_SUM = 2
const SCORE_SQUARES = 3
const FIRST_INCREMENT = 4

/** Number of epochs whose evidence counts as recent; three minutes. */
const RECENT_EPOCHS = 6

const ZERO_INCREMENTS = Array.from({ length: BETTOR_COUNT }, () => 0)

/**
 * Prior around the floor, with its weight in ratings. It keeps a few similar ratings from
 * giving a standard error close to zero.
 */
const PRIOR = { weight: 2, deviation: 0.25 }

/** Evidence for one class under a rollout. */
export interface ClassEvidence {
  readonly classKey: string
  /** Number of responses from the new version. */
  readonly exposed: number
  /** Number of ratings of these responses. */
  readonly rated: number
  /** Wealth of the bettors against the floor, see {@link wealthAgainstFloor}. */
  readonly wealth: number
  /** Quality of the responses in the current stage. */
  readonly stage: ScoreEstimate
  /** Number of responses in the current stage. */
  readonly stageExposed: number
  /** Quality of the responses rated in the recent epochs. */
  readonly recent: ScoreEstimate
  /** Number of responses in the recent epochs. */
  readonly recentExposed: number
}

export interface EvidenceQuery {
  readonly evidence: EvidenceTable
  readonly rollout: string
  readonly classKey: string
  readonly floor: number
  readonly firstEpoch: number
  readonly stageEpoch: number
  /**
   * Maximum age of the epochs that count, in epochs; {@link ROLLOUT_RETENTION_EPOCHS} if
   * absent.
   */
  readonly maxAgeEpochs?: number
}

/** Counts a response of the new version. */
export function addExposure(
  evidence: EvidenceTable,
  rollout: string,
  classKey: string,
): void {
  evidence.add(evidenceSubject(rollout, classKey), [1, 0, 0, 0, ...ZERO_INCREMENTS])
}

/** Counts a rating of a response of the new version. */
export function addRating(
  evidence: EvidenceTable,
  rollout: string,
  classKey: string,
  rating: { readonly score: number; readonly floor: number },
): void {
  const { score, floor } = rating
  const values = [0, 1, score, score ** 2, ...logWealthIncrements(score, floor)]
  evidence.add(evidenceSubject(rollout, classKey), values)
}

/** Summarises the evidence of all nodes for one class. */
export function classEvidence(query: EvidenceQuery): ClassEvidence {
  const { classKey, floor, firstEpoch, stageEpoch } = query
  const subject = evidenceSubject(query.rollout, classKey)
  const windowStart =
    query.evidence.epoch - (query.maxAgeEpochs ?? ROLLOUT_RETENTION_EPOCHS)
  const oldestEpoch = Math.max(firstEpoch, windowStart)
  const epochs = query.evidence.sums(subject).filter(({ epoch }) => epoch >= oldestEpoch)
  const stageEpochs = epochs.filter(({ epoch }) => epoch >= stageEpoch)
  const recentStart = query.evidence.epoch - RECENT_EPOCHS
  const recent = epochs.filter(({ epoch }) => epoch > recentStart)
  const prior = { ...PRIOR, mean: floor }
  return {
    classKey,
    exposed: total(epochs, EXPOSED),
    rated: total(epochs, RATED),
    wealth: wealthAgainstFloor(epochs, firstEpoch, FIRST_INCREMENT),
    stage: estimateScore(scoresOf(stageEpochs), prior),
    stageExposed: total(stageEpochs, EXPOSED),
    recent: estimateScore(scoresOf(recent), prior),
    recentExposed: total(recent, EXPOSED),
  }
}

/** Subject under which a class's rollout evidence is stored. */
export function evidenceSubject(rollout: string, classKey: string): string {
  return `rollout ${rollout} ${classKey}`
}

function scoresOf(epochs: readonly EpochSums[]): ScoreSums {
  return {
    count: total(epochs, RATED),
    sum: total(epochs, SCORE_SUM),
    squares: total(epochs, SCORE_SQUARES),
  }
}

function total(epochs: readonly EpochSums[], index: number): number {
  return epochs.reduce((sum, { values }) => sum + (values[index] ?? 0), 0)
}
