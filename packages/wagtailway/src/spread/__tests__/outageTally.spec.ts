import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '../../clock.js'
import { OutageTally } from '../outageTally.js'

const NAMES = ['n1', 'n2', 'n3', 'n4', 'n5']

function create(self: string, clock: VirtualClock): OutageTally {
  const tally = OutageTally.create({ self, clock: clock.now, maxAgeMs: 10_000 })
  tally.setListed(NAMES)
  return tally
}

describe('OutageTally', () => {
  it('requires claims from more than three in five of the listed members', () => {
    const clock = VirtualClock.create()
    const tally = create('n1', clock)
    const outageResults = NAMES.map((name) => {
      const other = create(name, clock)
      other.claim()
      tally.receive(other.claims(), 0)
      return tally.isOutage
    })
    assert.deepEqual(outageResults, [false, false, false, true, true])
  })

  it('ages a claim on every hop, transit time included', () => {
    const clock = VirtualClock.create()
    const [a, b, c] = ['n1', 'n2', 'n3'].map((name) => create(name, clock))
    for (const name of NAMES) {
      const other = create(name, clock)
      other.claim()
      a?.receive(other.claims(), 0)
    }
    clock.advance(4_000)
    b?.receive(a?.claims() ?? { listKey: 0, ages: new Uint8Array() }, 1_000)
    clock.advance(3_000)
    c?.receive(b?.claims() ?? { listKey: 0, ages: new Uint8Array() }, 0)
    assert.equal(c?.isOutage, true)
    clock.advance(2_001)
    assert.equal(c.isOutage, false)
  })
})
