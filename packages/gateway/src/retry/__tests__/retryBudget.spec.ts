import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock, seededRandom } from '@wagtailway/core'
import { RetryBudget } from '../retryBudget.js'

describe('RepeatBudget', () => {
  it('keeps the repeats of eight nodes below the bound in every window of a failure', () => {
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
    const log: { atMs: number; repeats: number }[] = []
    for (let ms = 0; ms < 60_000; ms += 50) {
      clock.advance(50)
      const node = nodes[Math.floor(random() * nodes.length)]
      node?.noteRequest()
      let repeats = 0
      // Everything fails, and each node repeats as often as it may.
      while (node?.tryAcquire() === true) repeats += 1
      log.push({ atMs: ms, repeats })
    }
    for (let from = 0; from < 50_000; from += 250) {
      const window = log.filter(({ atMs }) => atMs >= from && atMs < from + 10_000)
      const repeats = window.reduce((sum, step) => sum + step.repeats, 0)
      assert.ok(repeats <= 0.9 * window.length + 56, `${repeats} of ${window.length}`)
    }
  })

  it('allows a repeat again once the window has moved on', () => {
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
