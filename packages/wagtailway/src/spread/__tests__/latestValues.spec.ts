import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '../../clock.js'
import { LatestValues } from '../latestValues.js'

function create(): LatestValues {
  return LatestValues.create({ clock: VirtualClock.create().now, sends: 2 })
}

describe('LatestValues', () => {
  it('keeps the latest of each incarnation, whatever the order and however often', () => {
    const values = create()
    const newer = { key: 'k', incarnation: 'a-1', version: 2, value: '2' }
    const older = { key: 'k', incarnation: 'a-1', version: 1, value: '1' }
    const other = { key: 'k', incarnation: 'b-1', version: 1, value: '5' }
    values.receive([newer, older, other, newer])
    assert.deepEqual(values.getAll('k'), [newer, other])
  })

  it('sends changes first and repairs one old value a message', () => {
    const from = create()
    const to = create()
    for (let i = 0; i < 5; i++) {
      from.publish({ key: `k${i}`, incarnation: 'a-1', version: 1, value: '1' })
    }
    for (let i = 0; i < 20; i++) from.next()
    for (let i = 0; i < 5; i++) to.receive(from.next())
    for (let i = 0; i < 5; i++) assert.equal(to.getAll(`k${i}`).length, 1)
  })

  it('keeps a message within its bytes', () => {
    const values = create()
    for (let i = 0; i < 100; i++) {
      values.publish({ key: `k${i}`, incarnation: 'a-1', version: 1, value: '"0123456"' })
    }
    const bytes = JSON.stringify(values.next().map(({ value }) => value)).length
    assert.ok(bytes <= 400)
  })
})
