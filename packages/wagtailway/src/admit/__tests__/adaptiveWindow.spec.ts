import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { AdaptiveWindow } from '../adaptiveWindow.js'

function fill(window: AdaptiveWindow): number[] {
  const requests: number[] = []
  while (window.hasRoom()) requests.push(window.start())
  return requests
}

describe('AdaptiveWindow', () => {
  it('grows only while most of it is in use', () => {
    const idle = AdaptiveWindow.create({ initial: 4 })
    idle.observe(idle.start(), 0.1)
    assert.equal(idle.limit, 4)
    const busy = AdaptiveWindow.create({ initial: 4 })
    const [request] = fill(busy)
    busy.observe(request ?? 0, 0.1)
    assert.ok(busy.limit > 4)
  })

  it('shrinks only once for requests that started before the decrease', () => {
    const window = AdaptiveWindow.create({ initial: 10, decrease: 0.5 })
    for (const request of fill(window)) window.observe(request, 2)
    assert.equal(window.limit, 5)
    window.observe(window.start(), 2)
    assert.equal(window.limit, 2.5)
  })

  it('never shrinks below one request, so that a recovery is noticed', () => {
    const window = AdaptiveWindow.create({ initial: 8 })
    for (let i = 0; i < 50; i++) {
      window.observe(window.start(), 100)
      window.finish()
    }
    assert.equal(window.hasRoom(), true)
  })
})
