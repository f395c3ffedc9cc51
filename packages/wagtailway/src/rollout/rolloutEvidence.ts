/** Evidence on the new version of a roll-out, by class. */
import type { EpochSums, EvidenceTable } from '../quality/evidenceTable.js'
import {
  estimateScore,
  type ScoreEstimate,
  type ScoreSums,
} from '../quality/scoreEstimate.js'
import { BET_COUNT, betTerms, wealthAgainst } from './bettingTest.js'

/** Length of an epoch of roll-out evidence, in milliseconds. */
export const ROLLOUT_EPOCH_MS = 30_000

/** A day. */
export const ROLLOUT_RETENTION_EPOCHS = 2_880

/** Places of a cell's values. */
const EXPOSED = 0
const COUNT = 1
const SUM = 2
const SQUARES = 3
const FIRST_TERM = 4

/** Three minutes. */
const RECENT_EPOCHS = 6

const NO_TERMS = Array.from({ length: BET_COUNT }, () => 0)

/** Weight of the neutral prior, in ratings, that keeps few alike ratings from looking certain. */
const PRIOR = { weight: 2, deviation: 0.25 }

/** What is known of one class under a roll-out. */
export interface ClassEvidence {
  readonly classKey: string
  /** Answers given by the new version. */
  readonly exposed: number
  readonly rated: number
  /** Wealth of the bettors against the floor. */
  readonly wealth: number
  /** Quality of the answers of this stage. */
  readonly stage: ScoreEstimate
  /** Answers given during this stage. */
  readonly stageExposed: number
  /** Quality of the newest answers rated. */
  readonly recent: ScoreEstimate
  /** Newest answers given. */
  readonly recentExposed: number
}

export interface EvidenceQuery {
  readonly evidence: EvidenceTable
  readonly rollout: string
  readonly classKey: string
  readonly floor: number
  readonly firstEpoch: number
  readonly stageEpoch: number
  /** Newest epochs that count; all since the first if absent. */
  readonly epochs?: number
}

/** Counts an answer of the new version. */
export function addExposure(
  evidence: EvidenceTable,
  rollout: string,
  classKey: string,
): void {
  evidence.add(evidenceSubject(rollout, classKey), [1, 0, 0, 0, ...NO_TERMS])
}

/** Counts a rating of an answer of the new version. */
export function addRating(
  evidence: EvidenceTable,
  rollout: string,
  classKey: string,
  rating: { readonly score: number; readonly floor: number },
): void {
  const { score, floor } = rating
  const values = [0, 1, score, score ** 2, ...betTerms(score, floor)]
  evidence.add(evidenceSubject(rollout, classKey), values)
}

/** Sums up what all nodes know of one class. */
export function classEvidence(query: EvidenceQuery): ClassEvidence {
  const { classKey, floor, firstEpoch, stageEpoch } = query
  const subject = evidenceSubject(query.rollout, classKey)
  const newest = query.evidence.epoch - (query.epochs ?? ROLLOUT_RETENTION_EPOCHS)
  const oldest = Math.max(firstEpoch, newest)
  const epochs = query.evidence.sums(subject).filter(({ epoch }) => epoch >= oldest)
  const inStage = epochs.filter(({ epoch }) => epoch >= stageEpoch)
  const recentEpoch = query.evidence.epoch - RECENT_EPOCHS
  const recent = epochs.filter(({ epoch }) => epoch > recentEpoch)
  const prior = { ...PRIOR, mean: floor }
  return {
    classKey,
    exposed: total(epochs, EXPOSED),
    rated: total(epochs, COUNT),
    wealth: wealthAgainst(epochs, firstEpoch, FIRST_TERM),
    stage: estimateScore(scoresOf(inStage), prior),
    stageExposed: total(inStage, EXPOSED),
    recent: estimateScore(scoresOf(recent), prior),
    recentExposed: total(recent, EXPOSED),
  }
}

/** Subject of a class's roll-out evidence. */
export function evidenceSubject(rollout: string, classKey: string): string {
  return `rollout ${rollout} ${classKey}`
}

function scoresOf(epochs: readonly EpochSums[]): ScoreSums {
  return {
    count: total(epochs, COUNT),
    sum: total(epochs, SUM),
    squares: total(epochs, SQUARES),
  }
}

function total(epochs: readonly EpochSums[], place: number): number {
  return epochs.reduce((sum, { values }) => sum + (values[place] ?? 0), 0)
}
