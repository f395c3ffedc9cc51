/** Processor time of judging a roll-out, which each node does every second. */
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
const JUDGEMENTS = 500

/**
 * Measures the judgement of one class in microseconds.
 *
 * @param epochs Epochs with evidence.
 *
 * @example
 * measureJudgement(480).mean
 */
export function measureJudgement(epochs: number): Interval {
  const clock = VirtualClock.create()
  const evidence = EvidenceTable.create({
    source: 'n1',
    clock: clock.now,
    epochMs: ROLLOUT_EPOCH_MS,
    epochsKept: ROLLOUT_RETENTION_EPOCHS,
  })
  for (let i = 0; i < epochs; i++) {
    addExposure(evidence, ROLLOUT, CLASS_KEY)
    addRating(evidence, ROLLOUT, CLASS_KEY, { score: 0.9, floor: FLOOR })
    clock.advance(ROLLOUT_EPOCH_MS)
  }
  const query = { evidence, rollout: ROLLOUT, classKey: CLASS_KEY, floor: FLOOR }
  const runs = Array.from({ length: RUNS }, () => {
    const before = process.cpuUsage()
    for (let i = 0; i < JUDGEMENTS; i++) {
      classEvidence({ ...query, firstEpoch: 0, stageEpoch: 0 })
    }
    const { user, system } = process.cpuUsage(before)
    return (user + system) / JUDGEMENTS
  })
  return meanInterval(runs)
}
