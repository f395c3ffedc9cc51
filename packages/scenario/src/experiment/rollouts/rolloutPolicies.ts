/**
 * Rollout policies: by evidence, in fixed canary steps, by a threshold on the mean
 * rating.
 */
import {
  EvidenceTable,
  ROLLOUT_RETENTION_EPOCHS,
  ROLLOUT_EPOCH_MS,
  addExposure,
  addRating,
  applyStep,
  classEvidence,
  needsAllRatings,
  nextStep,
  shareOf,
  type ClassEvidence,
  type Clock,
  type RolloutState,
} from '@wagtailway/core'

/** One rollout, controlled by a policy. */
export interface RolloutDriver {
  /** Fraction of the traffic for the new version; zero once it is withdrawn. */
  readonly share: number
  readonly isWithdrawn: boolean
  /** Whether the rollout is complete: the new version keeps all of the traffic. */
  readonly isComplete: boolean
  /** Fraction of the responses that are sent to the rating service. */
  readonly ratingSample: number
  recordExposure(classKey: string): void
  recordRating(classKey: string, score: number): void
  /** Called every second. */
  tick(): void
}

export interface DriverOptions {
  readonly clock: Clock
  /** Quality target by class. */
  readonly targets: Readonly<Record<string, number>>
}

export type RolloutPolicy = (opts: DriverOptions) => RolloutDriver

const STEADY_RATING_SAMPLE = 0.2
const EVALUATION_INTERVAL_MS = 10_000
const EXPOSURE_BUDGET = 5_000

/**
 * The production rollout: betting test, stages and exposure budget on merged evidence.
 */
export const evidenceRollout: RolloutPolicy = ({ clock, targets }) => {
  const evidence = EvidenceTable.create({
    source: 'node',
    clock,
    epochMs: ROLLOUT_EPOCH_MS,
    retentionEpochs: ROLLOUT_RETENTION_EPOCHS,
  })
  let state: RolloutState = {
    model: 'm',
    from: 'old',
    to: 'new',
    phase: 'running',
    generation: 1,
    fence: 0,
    stage: 0,
    firstEpoch: evidence.epoch,
    stageEpoch: evidence.epoch,
    exposureBudget: EXPOSURE_BUDGET,
    floors: targets,
    reason: 'declared',
    by: 'node',
  }
  let classEvidences: ClassEvidence[] = []
  let share = shareOf(state, classEvidences)
  let evaluatedAtMs = clock()
  return {
    get share() {
      return share
    },
    get isWithdrawn() {
      return state.phase === 'withdrawn'
    },
    get isComplete() {
      return state.phase === 'promoted'
    },
    get ratingSample() {
      return needsAllRatings(state, classEvidences) ? 1 : STEADY_RATING_SAMPLE
    },
    recordExposure: (classKey) => {
      addExposure(evidence, 'm@new', classKey)
    },
    recordRating: (classKey, score) => {
      addRating(evidence, 'm@new', classKey, { score, floor: targets[classKey] ?? 0 })
    },
    tick: () => {
      if (clock() - evaluatedAtMs < EVALUATION_INTERVAL_MS) return
      evaluatedAtMs = clock()
      classEvidences = Object.entries(targets).map(([classKey, floor]) => {
        const { firstEpoch, stageEpoch } = state
        const rollout = 'm@new'
        return classEvidence({
          evidence,
          rollout,
          classKey,
          floor,
          firstEpoch,
          stageEpoch,
        })
      })
      const step = nextStep(state, classEvidences)
      if (step) state = applyStep(state, step, evidence.epoch, 'node')
      share = shareOf(state, classEvidences)
    },
  }
}

/** Fraction of the traffic in each of the fixed steps. */
const STEP_SHARES = [0.05, 0.25, 0.5, 1]
const STEP_MS = 600_000

interface StepRules {
  /** Time between two evaluations of the ratings, in milliseconds. */
  readonly evaluationIntervalMs: number
  /**
   * Number of newest ratings of a class that are evaluated; if absent, all ratings
   * since the last evaluation.
   */
  readonly newestRatings?: number
  /** Minimum number of ratings of a class for an evaluation. */
  readonly minRatings: number
  /**
   * The version is withdrawn if the mean rating is below the target by more than this.
   */
  readonly margin: number
}

/** Raises the share in fixed steps over time; `rules` decide on a withdrawal. */
function steppedRollout(rules: StepRules): RolloutPolicy {
  return ({ clock, targets }) => {
    const startMs = clock()
    let evaluatedAtMs = startMs
    let isWithdrawn = false
    const scores = new Map<string, number[]>()
    const step = (): number =>
      Math.min(STEP_SHARES.length - 1, Math.floor((clock() - startMs) / STEP_MS))
    return {
      get share() {
        return isWithdrawn ? 0 : (STEP_SHARES[step()] ?? 1)
      },
      get isWithdrawn() {
        return isWithdrawn
      },
      get isComplete() {
        return step() === STEP_SHARES.length - 1
      },
      get ratingSample() {
        return step() === STEP_SHARES.length - 1 ? STEADY_RATING_SAMPLE : 1
      },
      recordExposure: () => undefined,
      recordRating: (classKey, score) => {
        const classScores = scores.get(classKey) ?? []
        classScores.push(score)
        scores.set(
          classKey,
          rules.newestRatings ? classScores.slice(-rules.newestRatings) : classScores,
        )
      },
      tick: () => {
        if (clock() - evaluatedAtMs < rules.evaluationIntervalMs) return
        evaluatedAtMs = clock()
        isWithdrawn ||= [...scores].some(([classKey, classScores]) => {
          const mean =
            classScores.reduce((sum, score) => sum + score, 0) / classScores.length
          const bound = (targets[classKey] ?? 0) - rules.margin
          return classScores.length >= rules.minRatings && mean < bound
        })
        if (!rules.newestRatings) scores.clear()
      },
    }
  }
}

/** Fixed canary steps, each evaluated at its end by the mean of its ratings. */
export const canarySteps = steppedRollout({
  evaluationIntervalMs: STEP_MS,
  minRatings: 10,
  margin: 0.05,
})

/** Fixed steps, evaluated every 10 seconds by the mean of the newest ratings. */
export const meanThreshold = steppedRollout({
  evaluationIntervalMs: 10_000,
  newestRatings: 30,
  minRatings: 30,
  margin: 0.05,
})
