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

function admitted(budget: CallBudget, kind: CallKind, tries: number): number {
  let count = 0
  for (let i = 0; i < tries; i++) {
    if (budget.admit(kind) === 'admitted') count += 1
  }
  return count
}

describe('CallBudget', () => {
  it("gives a node its share of the fleet's calls of one kind", () => {
    const clock = VirtualClock.create()
    const budget = create(clock)
    admitted(budget, 'put', 100)
    let count = 0
    for (let second = 0; second < 1_000; second++) {
      clock.advance(1_000)
      count += admitted(budget, 'put', 10)
    }
    const share = (FLEET_CALLS_PER_SECOND.put / NODES) * 1_000
    assert.ok(Math.abs(count - share) <= 5, `${count} of ${share}`)
    assert.equal(budget.admit('get'), 'admitted')
  })

  it('holds calls back while the platform fails and lets them go after a success', () => {
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

  it('does not send all nodes to a platform that returns at the same moment', () => {
    const clock = VirtualClock.create()
    const budgets = Array.from({ length: NODES }, (_, i) => create(clock, i + 1))
    for (let failure = 0; failure < 10; failure++) {
      for (const budget of budgets) budget.recordResult('put', false)
    }
    let most = 0
    for (let ms = 0; ms < 4_000; ms += 100) {
      clock.advance(100)
      const now = budgets.filter((budget) => budget.admit('put') === 'admitted')
      for (const budget of now) budget.recordResult('put', false)
      most = Math.max(most, now.length)
    }
    assert.ok(most < NODES / 5, `${most} at once`)
  })
})
