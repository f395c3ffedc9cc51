import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '../../clock.js'
import { Breaker } from '../circuitBreaker.js'
import { RetryBudget } from '../retryBudget.js'

const random = (): number => 0.5

function fail(breaker: Breaker, times: number): void {
  for (let i = 0; i < times; i++) {
    breaker.start()
    breaker.finish(false)
  }
}

describe('Breaker', () => {
  it('opens after failures in a row and closes after a good probe', () => {
    const clock = VirtualClock.create()
    const breaker = Breaker.create({ clock: clock.now, random })
    fail(breaker, 4)
    assert.equal(breaker.state, 'closed')
    fail(breaker, 1)
    assert.equal(breaker.state, 'open')
    clock.advance(1_000)
    assert.equal(breaker.state, 'half_open')
    breaker.start()
    assert.equal(breaker.allows, false)
    breaker.finish(true)
    assert.equal(breaker.state, 'closed')
  })

  it('stays open longer after each failed probe', () => {
    const clock = VirtualClock.create()
    const breaker = Breaker.create({ clock: clock.now, random })
    fail(breaker, 5)
    clock.advance(1_000)
    fail(breaker, 1)
    assert.equal(breaker.waitMs, 2_000)
  })
})

describe('RetryBudget', () => {
  it('allows a tenth of the first attempts as retries', () => {
    const budget = RetryBudget.create({ ratio: 0.1, burst: 1 })
    let retries = 0
    for (let i = 0; i < 1_000; i++) {
      budget.deposit()
      if (budget.withdraw()) retries += 1
    }
    assert.ok(retries >= 90 && retries <= 101, `${retries} retries`)
  })
})
