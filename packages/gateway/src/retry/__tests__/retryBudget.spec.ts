import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock, seededRandom } from '@wagtailway/core'
import { RetryBudget } from '../retryBudget.js'

describe('RetryBudget', () => {
  it('keeps the retries of eight nodes below the limit in every window while all requests fail', () => {
    const clock = VirtualClock.create()
    const random = seededRandom(7)
    const nodes = Array.from({ length: 8 }, () =>
      RetryBudget.create({
        clock: clock.now,
        ratio: 0.765,
        slack: () => 3.5,
        windowMs: 10_000,
      }),
    )
    const history: { atMs: number; retries: number }[] = []
    for (let ms = 0; ms < 60_000; ms += 50) {
      clock.advance(50)
      const node = nodes[Math.floor(random() * nodes.length)]
      node?.recordRequest()
      let retries = 0
      // All requests fail, and each node retries as often as its budget allows.
      while (node?.tryAcquire() === true) retries += 1
      history.push({ atMs: ms, retries })
    }
    for (let windowStartMs = 0; windowStartMs < 50_000; windowStartMs += 250) {
      const stepsInWindow = history.filter(
        ({ atMs }) => atMs >= windowStartMs && atMs < windowStartMs + 10_000,
      )
      const retries = stepsInWindow.reduce((sum, step) => sum + step.retries, 0)
      assert.ok(
        retries <= 0.9 * stepsInWindow.length + 56,
        `${retries} of ${stepsInWindow.length}`,
      )
    }
  })

  it('allows a retry again after the window has passed', () => {
    const clock = VirtualClock.create()
    const budget = RetryBudget.create({
      clock: clock.now,
      ratio: 0,
      slack: () => 1,
      windowMs: 10_000,
    })
    assert.equal(budget.tryAcquire(), true)
    assert.equal(budget.tryAcquire(), false)
    clock.advance(11_000)
    assert.equal(budget.tryAcquire(), true)
  })
})
