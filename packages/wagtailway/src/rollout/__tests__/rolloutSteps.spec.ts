import assert from 'node:assert/strict'
import { test } from 'node:test'
import { VirtualClock } from '../../clock.js'
import { EvidenceTable } from '../../quality/evidenceTable.js'
import { seededRandom } from '../../random.js'
import { logWealthIncrements, wealthAgainstFloor } from '../bettingTest.js'
import {
  ROLLOUT_EPOCH_MS,
  addExposure,
  addRating,
  classEvidence,
  type ClassEvidence,
} from '../rolloutEvidence.js'
import type { RolloutState } from '../rolloutState.js'
import { DEFAULT_ROLLOUT_RULES, applyStep, nextStep, shareOf } from '../rolloutSteps.js'

const ROLLOUT = 'm@new'
const FLOOR = 0.8
const CLASSES = ['panel/dossier', 'kebele/check']

const running: RolloutState = {
  model: 'm',
  from: 'old',
  to: 'new',
  phase: 'running',
  generation: 1,
  fence: 0,
  stage: 0,
  firstEpoch: 0,
  stageEpoch: 0,
  exposureBudget: 1_000,
  floors: Object.fromEntries(CLASSES.map((key) => [key, FLOOR])),
  reason: 'declared',
  by: 'n1',
}
const promoted: RolloutState = { ...running, phase: 'promoted' }

interface Fixture {
  readonly clock: VirtualClock
  readonly respond: (classKey: string, scores: readonly number[]) => void
  readonly expose: (count: number) => void
  readonly evaluate: (state?: RolloutState) => ClassEvidence[]
}

function createFixture(): Fixture {
  const clock = VirtualClock.create()
  const evidence = EvidenceTable.create({
    source: 'n1',
    clock: clock.now,
    epochMs: ROLLOUT_EPOCH_MS,
  })
  return {
    clock,
    respond: (classKey, scores) => {
      for (const score of scores) {
        addExposure(evidence, ROLLOUT, classKey)
        addRating(evidence, ROLLOUT, classKey, { score, floor: FLOOR })
      }
    },
    expose: (count) => {
      for (let i = 0; i < count; i++) addExposure(evidence, ROLLOUT, CLASSES[0] ?? '')
    },
    evaluate: (state = running) =>
      CLASSES.map((classKey) => {
        const { firstEpoch, stageEpoch } = state
        const query = { evidence, rollout: ROLLOUT, classKey, floor: FLOOR }
        return classEvidence({ ...query, firstEpoch, stageEpoch })
      }),
  }
}

function repeat(score: number, count: number): number[] {
  return Array.from({ length: count }, () => score)
}

void test('withdraws a version that is bad for one class only', () => {
  const { respond, evaluate } = createFixture()
  respond('panel/dossier', repeat(0.4, 20))
  respond('kebele/check', repeat(0.95, 200))
  const step = nextStep(running, evaluate())
  assert.equal(step?.type, 'withdraw')
  assert.match(step.reason, /panel\/dossier/)
})

void test('good ratings in the past do not hide a later decline', () => {
  const { respond, evaluate, clock } = createFixture()
  respond('panel/dossier', repeat(0.95, 5_000))
  clock.advance(10 * ROLLOUT_EPOCH_MS)
  respond('panel/dossier', repeat(0.4, 40))
  assert.equal(nextStep(promoted, evaluate(promoted))?.type, 'withdraw')
})

void test('raises the share stage by stage and promotes a good version', () => {
  let state = running
  const { respond, evaluate, clock } = createFixture()
  for (const share of DEFAULT_ROLLOUT_RULES.shares) {
    respond('panel/dossier', repeat(0.9, 60))
    assert.equal(shareOf(state, evaluate(state)), share)
    const step = nextStep(state, evaluate(state))
    assert.ok(step)
    state = applyStep(state, step, Math.floor(clock.now() / ROLLOUT_EPOCH_MS), 'n2')
    clock.advance(2 * ROLLOUT_EPOCH_MS)
  }
  assert.equal(state.phase, 'promoted')
  assert.equal(shareOf(state, evaluate(state)), 1)
})

void test('the share is zero while ratings are missing and once the exposure budget is used up', () => {
  const { expose, respond, evaluate } = createFixture()
  expose(DEFAULT_ROLLOUT_RULES.initialExposure)
  assert.equal(shareOf(running, evaluate()), 0)
  respond('panel/dossier', repeat(0.9, 30))
  assert.equal(shareOf(running, evaluate()), DEFAULT_ROLLOUT_RULES.shares[0])
  assert.equal(shareOf({ ...running, exposureBudget: 50 }, evaluate()), 0)
})

void test('reduces the share of a promoted version while it gets no ratings', () => {
  const { expose, respond, evaluate } = createFixture()
  expose(60)
  const { suspectShare } = DEFAULT_ROLLOUT_RULES
  assert.equal(shareOf(promoted, evaluate()), suspectShare)
  respond('panel/dossier', repeat(0.9, 10))
  assert.equal(shareOf(promoted, evaluate()), 1)
})

void test('a withdrawn rollout has no share and no further step', () => {
  const { respond, evaluate } = createFixture()
  respond('panel/dossier', repeat(0.9, 500))
  const withdrawn: RolloutState = { ...running, phase: 'withdrawn' }
  assert.equal(shareOf(withdrawn, evaluate()), 0)
  assert.equal(nextStep(withdrawn, evaluate()), undefined)
})

void test('wealth rarely exceeds 1 / alpha for a version at its floor, although it is checked often', () => {
  const random = seededRandom(4)
  const runs = 300
  const alarms = Array.from({ length: runs }, () => {
    const epochs = Array.from({ length: 40 }, (_, epoch) => ({
      epoch,
      values: randomIncrements(25),
    }))
    const wealths = epochs.map((_, i) => wealthAgainstFloor(epochs.slice(0, i + 1), 0, 0))
    return Math.max(...wealths) >= 20
  })
  // At most one run in 20 is expected to raise an alarm; the bound of one in 10 leaves
  // room for chance.
  assert.ok(alarms.filter(Boolean).length <= runs / 10)

  function randomIncrements(count: number): number[] {
    const sums = logWealthIncrements(FLOOR, FLOOR).map(() => 0)
    for (let n = 0; n < count; n++) {
      const increments = logWealthIncrements(random() < FLOOR ? 1 : 0, FLOOR)
      for (const [i, increment] of increments.entries())
        sums[i] = (sums[i] ?? 0) + increment
    }
    return sums
  }
})
