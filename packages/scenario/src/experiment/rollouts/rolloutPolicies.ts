/** Ways to roll out a version: by evidence, by fixed steps, by a threshold on a mean. */
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

/** One roll-out in the hands of a policy. */
export interface RolloutDriver {
  /** Part of the traffic for the new version; zero once it is withdrawn. */
  readonly share: number
  readonly isWithdrawn: boolean
  /** Whether the new version has all of the traffic for good. */
  readonly isComplete: boolean
  /** Part of the answers that are sent to be rated. */
  readonly ratingSample: number
  exposed(classKey: string): void
  rated(classKey: string, score: number): void
  /** Called every second. */
  tick(): void
}

export interface DriverOptions {
  readonly clock: Clock
  /** Quality target by class. */
  readonly targets: Readonly<Record<string, number>>
}

export type RolloutPolicy = (opts: DriverOptions) => RolloutDriver

const SETTLED_SAMPLE = 0.2
const JUDGE_MS = 10_000
const EXPOSURE_BUDGET = 5_000

/** The product's roll-out: betting test, stages and budget on merged evidence. */
export const evidenceRollout: RolloutPolicy = ({ clock, targets }) => {
  const evidence = EvidenceTable.create({
    source: 'node',
    clock,
    epochMs: ROLLOUT_EPOCH_MS,
    epochsKept: ROLLOUT_RETENTION_EPOCHS,
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
  let judged: ClassEvidence[] = []
  let share = shareOf(state, judged)
  let judgedAtMs = clock()
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
      return needsAllRatings(state, judged) ? 1 : SETTLED_SAMPLE
    },
    exposed: (classKey) => {
      addExposure(evidence, 'm@new', classKey)
    },
    rated: (classKey, score) => {
      addRating(evidence, 'm@new', classKey, { score, floor: targets[classKey] ?? 0 })
    },
    tick: () => {
      if (clock() - judgedAtMs < JUDGE_MS) return
      judgedAtMs = clock()
      judged = Object.entries(targets).map(([classKey, floor]) => {
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
      const step = nextStep(state, judged)
      if (step) state = applyStep(state, step, evidence.epoch, 'node')
      share = shareOf(state, judged)
    },
  }
}

/** Shares of the fixed steps. */
const STEPS = [0.05, 0.25, 0.5, 1]
const STEP_MS = 600_000

interface StepRules {
  /** How often the ratings are judged. */
  readonly judgeMs: number
  /** Ratings that are judged: those since the last judgement, or the newest ones. */
  readonly newest?: number
  /** Fewest ratings of a class that are judged. */
  readonly fewest: number
  /** Distance below the target at which the version is withdrawn. */
  readonly margin: number
}

/** Fixed steps in time; what decides on a withdrawal varies. */
function steppedRollout(rules: StepRules): RolloutPolicy {
  return ({ clock, targets }) => {
    const startMs = clock()
    let judgedAtMs = startMs
    let isWithdrawn = false
    const scores = new Map<string, number[]>()
    const step = (): number =>
      Math.min(STEPS.length - 1, Math.floor((clock() - startMs) / STEP_MS))
    return {
      get share() {
        return isWithdrawn ? 0 : (STEPS[step()] ?? 1)
      },
      get isWithdrawn() {
        return isWithdrawn
      },
      get isComplete() {
        return step() === STEPS.length - 1
      },
      get ratingSample() {
        return step() === STEPS.length - 1 ? SETTLED_SAMPLE : 1
      },
      exposed: () => undefined,
      rated: (classKey, score) => {
        const known = scores.get(classKey) ?? []
        known.push(score)
        scores.set(classKey, rules.newest ? known.slice(-rules.newest) : known)
      },
      tick: () => {
        if (clock() - judgedAtMs < rules.judgeMs) return
        judgedAtMs = clock()
        isWithdrawn ||= [...scores].some(([classKey, known]) => {
          const mean = known.reduce((sum, score) => sum + score, 0) / known.length
          const bound = (targets[classKey] ?? 0) - rules.margin
          return known.length >= rules.fewest && mean < bound
        })
        if (!rules.newest) scores.clear()
      },
    }
  }
}

/** Fixed canary steps, each judged at its end by the mean of its ratings. */
export const canarySteps = steppedRollout({
  judgeMs: STEP_MS,
  fewest: 10,
  margin: 0.05,
})

/** Fixed steps, judged all the time by the mean of the newest ratings. */
export const meanThreshold = steppedRollout({
  judgeMs: 10_000,
  newest: 30,
  fewest: 30,
  margin: 0.05,
})
