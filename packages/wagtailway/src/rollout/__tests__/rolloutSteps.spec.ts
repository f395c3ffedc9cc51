import assert from 'node:assert/strict'
import { test } from 'node:test'
import { VirtualClock } from '../../clock.js'
import { EvidenceTable } from '../../quality/evidenceTable.js'
import { seededRandom } from '../../random.js'
import { betTerms, wealthAgainst } from '../bettingTest.js'
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
  readonly answer: (classKey: string, scores: readonly number[]) => void
  readonly expose: (count: number) => void
  readonly judge: (state?: RolloutState) => ClassEvidence[]
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
    answer: (classKey, scores) => {
      for (const score of scores) {
        addExposure(evidence, ROLLOUT, classKey)
        addRating(evidence, ROLLOUT, classKey, { score, floor: FLOOR })
      }
    },
    expose: (count) => {
      for (let i = 0; i < count; i++) addExposure(evidence, ROLLOUT, CLASSES[0] ?? '')
    },
    judge: (state = running) =>
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
  const { answer, judge } = createFixture()
  answer('panel/dossier', repeat(0.4, 20))
  answer('kebele/check', repeat(0.95, 200))
  const step = nextStep(running, judge())
  assert.equal(step?.type, 'withdraw')
  assert.match(step.reason, /panel\/dossier/)
})

void test('a good past does not hide a later fall', () => {
  const { answer, judge, clock } = createFixture()
  answer('panel/dossier', repeat(0.95, 5_000))
  clock.advance(10 * ROLLOUT_EPOCH_MS)
  answer('panel/dossier', repeat(0.4, 40))
  assert.equal(nextStep(promoted, judge(promoted))?.type, 'withdraw')
})

void test('raises by stages and promotes a good version', () => {
  let state = running
  const { answer, judge, clock } = createFixture()
  for (const share of DEFAULT_ROLLOUT_RULES.shares) {
    answer('panel/dossier', repeat(0.9, 60))
    assert.equal(shareOf(state, judge(state)), share)
    const step = nextStep(state, judge(state))
    assert.ok(step)
    state = applyStep(state, step, Math.floor(clock.now() / ROLLOUT_EPOCH_MS), 'n2')
    clock.advance(2 * ROLLOUT_EPOCH_MS)
  }
  assert.equal(state.phase, 'promoted')
  assert.equal(shareOf(state, judge(state)), 1)
})

void test('answers stop while their ratings do not come, and at the budget', () => {
  const { expose, answer, judge } = createFixture()
  expose(DEFAULT_ROLLOUT_RULES.firstExposed)
  assert.equal(shareOf(running, judge()), 0)
  answer('panel/dossier', repeat(0.9, 30))
  assert.equal(shareOf(running, judge()), DEFAULT_ROLLOUT_RULES.shares[0])
  assert.equal(shareOf({ ...running, exposureBudget: 50 }, judge()), 0)
})

void test('cuts the share of a promoted version while it is not rated at all', () => {
  const { expose, answer, judge } = createFixture()
  expose(60)
  const { doubtfulShare } = DEFAULT_ROLLOUT_RULES
  assert.equal(shareOf(promoted, judge()), doubtfulShare)
  answer('panel/dossier', repeat(0.9, 10))
  assert.equal(shareOf(promoted, judge()), 1)
})

void test('a withdrawn roll-out gets no share and no further step', () => {
  const { answer, judge } = createFixture()
  answer('panel/dossier', repeat(0.9, 500))
  const withdrawn: RolloutState = { ...running, phase: 'withdrawn' }
  assert.equal(shareOf(withdrawn, judge()), 0)
  assert.equal(nextStep(withdrawn, judge()), undefined)
})

void test('wealth passes 1 / alpha in few of many looks at a version at its floor', () => {
  const random = seededRandom(4)
  const runs = 300
  const alarms = Array.from({ length: runs }, () => {
    const epochs = Array.from({ length: 40 }, (_, epoch) => ({
      epoch,
      values: coinTerms(25),
    }))
    const looks = epochs.map((_, i) => wealthAgainst(epochs.slice(0, i + 1), 0, 0))
    return Math.max(...looks) >= 20
  })
  // At most one in twenty is expected; the bound leaves room for chance.
  assert.ok(alarms.filter(Boolean).length <= runs / 10)

  function coinTerms(count: number): number[] {
    const sums = betTerms(FLOOR, FLOOR).map(() => 0)
    for (let n = 0; n < count; n++) {
      const terms = betTerms(random() < FLOOR ? 1 : 0, FLOOR)
      for (const [i, term] of terms.entries()) sums[i] = (sums[i] ?? 0) + term
    }
    return sums
  }
})
