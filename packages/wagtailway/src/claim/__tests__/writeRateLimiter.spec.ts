import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '../../clock.js'
import { WriteRateLimiter } from '../writeRateLimiter.js'

describe('WriteRateLimiter', () => {
  const create = (clock: VirtualClock): WriteRateLimiter =>
    WriteRateLimiter.create({ writeIntervalMs: 450, writeBurst: 8, clock: clock.now })

  it('allows a burst and then one write per interval', () => {
    const clock = VirtualClock.create()
    const limiter = create(clock)
    for (let i = 0; i < 8; i++) {
      assert.equal(limiter.waitMs(), 0)
      limiter.recordWrite()
    }
    assert.equal(limiter.waitMs(), 450)
    clock.advance(450)
    assert.equal(limiter.waitMs(), 0)
  })

  it('delays a write by at most one interval, however many retries there were', () => {
    const clock = VirtualClock.create()
    const limiter = create(clock)
    for (let i = 0; i < 20; i++) limiter.recordWrite()
    assert.equal(limiter.waitMs(), 450)
  })
})
