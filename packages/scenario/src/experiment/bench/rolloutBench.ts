/**
 * Processor time of evaluating a rollout, which each node does every second, or every
 * 5 seconds for a long rollout.
 */
import {
  EvidenceTable,
  ROLLOUT_RETENTION_EPOCHS,
  ROLLOUT_EPOCH_MS,
  VirtualClock,
  addExposure,
  addRating,
  classEvidence,
} from '@wagtailway/core'
import { meanInterval, type Interval } from '../statistics.js'

const ROLLOUT = 'm@new#1'
const CLASS_KEY = 'panel/dossier'
const FLOOR = 0.8
const RUNS = 7
const EVALUATIONS_PER_RUN = 500

/**
 * Measures the processor time of evaluating one class, in microseconds.
 *
 * @param epochs Number of epochs with evidence.
 *
 * @example
 * measureEvaluation(480).mean
 */
export function measureEvaluation(epochs: number): Interval {
  const clock = VirtualClock.create()
  const evidence = EvidenceTable.create({
    source: 'n1',
    clock: clock.now,
    epochMs: ROLLOUT_EPOCH_MS,
    retentionEpochs: ROLLOUT_RETENTION_EPOCHS,
  })
  for (let i = 0; i < epochs; i++) {
    addExposure(evidence, ROLLOUT, CLASS_KEY)
    addRating(evidence, ROLLOUT, CLASS_KEY, { score: 0.9, floor: FLOOR })
    clock.advance(ROLLOUT_EPOCH_MS)
  }
  const query = { evidence, rollout: ROLLOUT, classKey: CLASS_KEY, floor: FLOOR }
  const runs = Array.from({ length: RUNS }, () => {
    const before = process.cpuUsage()
    for (let i = 0; i < EVALUATIONS_PER_RUN; i++) {
      classEvidence({ ...query, firstEpoch: 0, stageEpoch: 0 })
    }
    const { user, system } = process.cpuUsage(before)
    return (user + system) / EVALUATIONS_PER_RUN
  })
  return meanInterval(runs)
}
