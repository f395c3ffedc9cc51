import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '../../clock.js'
import { WritePace } from '../writePace.js'

describe('WritePace', () => {
  const create = (clock: VirtualClock): WritePace =>
    WritePace.create({ writeIntervalMs: 450, writeBurst: 8, clock: clock.now })

  it('lets a burst through and then one write each interval', () => {
    const clock = VirtualClock.create()
    const pace = create(clock)
    for (let i = 0; i < 8; i++) {
      assert.equal(pace.pauseMs(), 0)
      pace.take()
    }
    assert.equal(pace.pauseMs(), 450)
    clock.advance(450)
    assert.equal(pace.pauseMs(), 0)
  })

  it('never pauses longer than the interval, however many retries there were', () => {
    const clock = VirtualClock.create()
    const pace = create(clock)
    for (let i = 0; i < 20; i++) pace.take()
    assert.equal(pace.pauseMs(), 450)
  })
})
