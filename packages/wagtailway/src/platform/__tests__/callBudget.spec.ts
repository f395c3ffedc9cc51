import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '../../clock.js'
import { seededRandom } from '../../random.js'
import { CallBudget, FLEET_CALLS_PER_SECOND, type CallKind } from '../callBudget.js'

const NODES = 430

function create(clock: VirtualClock, seed = 1): CallBudget {
  const budget = CallBudget.create({ clock: clock.now, random: seededRandom(seed) })
  budget.setNodeCount(NODES)
  return budget
}

function countAdmitted(budget: CallBudget, kind: CallKind, attempts: number): number {
  let count = 0
  for (let i = 0; i < attempts; i++) {
    if (budget.admit(kind) === 'admitted') count += 1
  }
  return count
}

describe('CallBudget', () => {
  it("gives a node its share of the fleet's calls of one kind", () => {
    const clock = VirtualClock.create()
    const budget = create(clock)
    countAdmitted(budget, 'put', 100)
    let count = 0
    for (let second = 0; second < 1_000; second++) {
      clock.advance(1_000)
      count += countAdmitted(budget, 'put', 10)
    }
    const share = (FLEET_CALLS_PER_SECOND.put / NODES) * 1_000
    assert.ok(Math.abs(count - share) <= 5, `${count} of ${share}`)
    assert.equal(budget.admit('get'), 'admitted')
  })

  it('backs off while calls of a kind fail and stops after a success', () => {
    const clock = VirtualClock.create()
    const budget = create(clock)
    for (let i = 0; i < 3; i++) budget.recordResult('get', false)
    assert.equal(budget.admit('get'), 'backing_off')
    assert.equal(budget.admit('put'), 'admitted')
    clock.advance(4_000)
    assert.equal(budget.admit('get'), 'admitted')
    budget.recordResult('get', true)
    assert.equal(budget.admit('get'), 'admitted')
  })

  it('spreads the calls of all nodes when the platform becomes available again', () => {
    const clock = VirtualClock.create()
    const budgets = Array.from({ length: NODES }, (_, i) => create(clock, i + 1))
    for (let failure = 0; failure < 10; failure++) {
      for (const budget of budgets) budget.recordResult('put', false)
    }
    let maxAtOnce = 0
    for (let ms = 0; ms < 4_000; ms += 100) {
      clock.advance(100)
      const admittedBudgets = budgets.filter(
        (budget) => budget.admit('put') === 'admitted',
      )
      for (const budget of admittedBudgets) budget.recordResult('put', false)
      maxAtOnce = Math.max(maxAtOnce, admittedBudgets.length)
    }
    assert.ok(maxAtOnce < NODES / 5, `${maxAtOnce} at once`)
  })
})
