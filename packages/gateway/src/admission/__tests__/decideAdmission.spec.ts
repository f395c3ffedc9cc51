import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import {
  DEMOTION,
  admitChance,
  decideAdmission,
  nextShedLevels,
  type AdmissionInputs,
  type ServicePressure,
} from '../decideAdmission.js'
import { excessPart } from '../workspaceShare.js'

const CALM: ServicePressure = {
  occupancy: 0.3,
  meanWaitMs: 20,
  demotedWaitMs: 0,
  ageMs: 200,
}
const NO_LEVELS = { all: 0, excess: 0 }
const INPUTS: AdmissionInputs = {
  pressure: CALM,
  admitted: 1,
  chance: 1,
  excessChance: 1,
  isLeastUrgent: true,
  excess: 0,
  priority: 2,
}

describe('nextShedLevels', () => {
  it('refuses nothing while slots are free, so that the usual load is served as before', () => {
    assert.deepEqual(nextShedLevels(NO_LEVELS, CALM, 1_000), NO_LEVELS)
  })

  it('rises while requests wait for slots, up to a bound, and falls to none after', () => {
    const full = { ...CALM, occupancy: 8 }
    let levels = nextShedLevels(NO_LEVELS, full, 100)
    assert.ok(levels.all > 0 && levels.excess === 0)
    for (let i = 0; i < 1_000; i += 1) levels = nextShedLevels(levels, full, 100)
    assert.ok(Math.exp(-levels.all) >= 0.02 - 1e-9, `${levels.all}`)
    for (let i = 0; i < 100; i += 1) levels = nextShedLevels(levels, CALM, 100)
    assert.equal(levels.all, 0)
  })

  it('refuses only what is beyond a share because demoted requests wait', () => {
    const levels = nextShedLevels(NO_LEVELS, { ...CALM, demotedWaitMs: 5_000 }, 100)
    assert.ok(levels.excess > 0)
    assert.equal(levels.all, 0)
  })
})

describe('admitChance', () => {
  const GROUPS = [
    { rank: 0, part: 0.2 },
    { rank: 8, part: 0.5 },
    { rank: 10, part: 0.3 },
  ]

  it('refuses requests beyond a share first and the most urgent ones last', () => {
    assert.equal(admitChance(GROUPS, 0, 0.7), 0)
    assert.ok(admitChance(GROUPS, 8, 0.7) > 0.79)
    assert.equal(admitChance(GROUPS, 10, 0.5), 1)
  })

  it('admits each priority at least a quarter as often as all requests', () => {
    for (const admitted of [0.02, 0.1, 0.3, 0.6, 1])
      for (const rank of [8, 10])
        assert.ok(admitChance(GROUPS, rank, admitted) >= admitted / 4)
  })

  it('admits the part that is asked for, over all groups', () => {
    for (const admitted of [0.3, 0.5, 0.7, 0.9]) {
      const sum = GROUPS.reduce(
        (total, { rank, part }) => total + part * admitChance(GROUPS, rank, admitted),
        0,
      )
      assert.ok(Math.abs(sum - admitted) < 0.06, `${sum} ${admitted}`)
    }
  })
})

describe('decideAdmission', () => {
  it('sends a request as urgently as before while there is no contention', () => {
    assert.deepEqual(
      decideAdmission({ ...INPUTS, excess: 1 }, () => 0.5),
      {
        type: 'send',
        demotion: 0,
        isExcess: true,
      },
    )
  })

  it('demotes what is beyond a share while prompts wait', () => {
    const pressure = { ...CALM, meanWaitMs: 700 }
    const decide = (excess: number) =>
      decideAdmission({ ...INPUTS, pressure, excess }, () => 0.5)
    assert.deepEqual(decide(0.8), { type: 'send', demotion: DEMOTION, isExcess: true })
    assert.deepEqual(decide(0.2), { type: 'send', demotion: 0, isExcess: false })
  })

  it('tells less urgent callers to return later, at times that are spread', () => {
    const delayOf = (priority: number, random: () => number): number => {
      const decision = decideAdmission(
        { ...INPUTS, chance: 0, admitted: 0.5, priority },
        random,
      )
      return decision.type === 'refuse' ? decision.retryAfterMs : 0
    }
    assert.ok(delayOf(2, () => 0) > delayOf(0, () => 0.9))
    assert.ok(delayOf(2, () => 0.9) > 1.5 * delayOf(2, () => 0))
  })
})

describe('excessPart', () => {
  it('lets a lone workspace use everything', () => {
    assert.equal(excessPart([['a', 100]], 'a'), 0)
  })

  it('tells what is beyond 1.5 times the mean of the others', () => {
    const use = [['a', 10_000] as const, ['b', 1_000] as const, ['c', 1_000] as const]
    assert.ok(Math.abs(excessPart(use, 'a') - 0.84) < 0.01)
    assert.equal(excessPart(use, 'b'), 0)
  })

  it('takes what chance explains in a small sample for no excess', () => {
    assert.equal(
      excessPart(
        [
          ['a', 5],
          ['b', 2],
          ['c', 2],
        ],
        'a',
      ),
      0,
    )
  })
})
