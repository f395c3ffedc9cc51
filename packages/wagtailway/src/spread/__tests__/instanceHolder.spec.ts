import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '../../clock.js'
import { InstanceHolder } from '../instanceHolder.js'

interface Listed {
  readonly id: string
  readonly state: 'live' | 'leaving'
}

function create(clock: VirtualClock): InstanceHolder<Listed> {
  return InstanceHolder.create<Listed>({
    clock: clock.now,
    idOf: ({ id }) => id,
    parse: (json) => json as Listed,
    isDraining: ({ state }) => state === 'leaving',
  })
}

const LIVE: Listed = { id: 's1', state: 'live' }
const LEAVING: Listed = { id: 's1', state: 'leaving' }

describe('InstanceHolder', () => {
  it('does not let a leaving server come back by a lagging look', () => {
    const clock = VirtualClock.create()
    const holder = create(clock)
    holder.saw([LIVE], 0)
    clock.advance(1_000)
    holder.saw([LEAVING], 0)
    clock.advance(1_000)
    holder.saw([LIVE], 0)
    assert.deepEqual(holder.instances, [])
    clock.advance(30_001)
    assert.deepEqual(holder.instances, [LIVE])
  })

  it('ignores an older look', () => {
    const clock = VirtualClock.create(10_000)
    const holder = create(clock)
    holder.saw([LEAVING], 1_000)
    assert.equal(holder.saw([LIVE], 2_000), false)
    assert.deepEqual(holder.instances, [LEAVING])
  })

  it('takes the same array as a look that found no change', () => {
    const clock = VirtualClock.create(10_000)
    const holder = create(clock)
    const list = [LIVE]
    holder.saw(list, 0)
    clock.advance(3_000)
    assert.equal(holder.saw(list, 100), false)
    assert.equal(holder.ageMs, 100)
    const other = create(clock)
    other.saw([LIVE, { id: 's2', state: 'live' }], 0)
    holder.receive(other.deltaFrom(holder.hash), 0)
    clock.advance(1_000)
    assert.equal(holder.saw(list, 0), true)
    assert.deepEqual(holder.instances, list)
  })

  it('follows a peer by deltas, and by the whole list from an unknown one', () => {
    const clock = VirtualClock.create(10_000)
    const from = create(clock)
    const to = create(clock)
    from.saw([LIVE], 500)
    to.receive(from.deltaFrom(to.hash), 500)
    from.saw([LIVE, { id: 's2', state: 'live' }], 100)
    const delta = from.deltaFrom(to.hash)
    assert.equal(delta.changed.length, 1)
    to.receive(delta, 100)
    assert.deepEqual(to.instances, from.instances)
    assert.equal(from.deltaFrom(12_345).whole, true)
  })
})
