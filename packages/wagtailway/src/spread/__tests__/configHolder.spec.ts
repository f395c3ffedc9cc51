import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '../../clock.js'
import { EMPTY_CONFIG } from '../../config/effective.js'
import { ConfigHolder } from '../configHolder.js'

describe('ConfigHolder', () => {
  it('never goes back to an older revision', () => {
    const clock = VirtualClock.create()
    const holder = ConfigHolder.create({ clock: clock.now, freshMs: 10_000 })
    assert.equal(holder.offer(5, EMPTY_CONFIG), true)
    assert.equal(holder.offer(4, EMPTY_CONFIG), false)
    assert.equal(holder.revision, 5)
  })

  it('is stale once its newest proof is too old', () => {
    const clock = VirtualClock.create()
    const holder = ConfigHolder.create({ clock: clock.now, freshMs: 10_000 })
    holder.offer(5, EMPTY_CONFIG)
    holder.confirm(5, 4_000)
    clock.advance(6_000)
    assert.equal(holder.isFresh, true)
    clock.advance(1)
    assert.equal(holder.isFresh, false)
  })
})
