import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '../../clock.js'
import { PauseGuard } from '../pauseGuard.js'

describe('PauseGuard', () => {
  it('distrusts what was known before a pause until it is known anew', () => {
    const clock = VirtualClock.create(10_000)
    const guard = PauseGuard.create({ clock: clock.now })
    assert.equal(guard.isCurrent(500), true)
    clock.advance(6_000)
    assert.equal(guard.isCurrent(6_500), false)
    clock.advance(400)
    guard.tick()
    assert.equal(guard.isCurrent(500), false)
    assert.equal(guard.isCurrent(100), true)
  })

  it('takes a short gap for no pause', () => {
    const clock = VirtualClock.create()
    const guard = PauseGuard.create({ clock: clock.now })
    clock.advance(2_900)
    assert.equal(guard.isCurrent(5_000), true)
  })
})
