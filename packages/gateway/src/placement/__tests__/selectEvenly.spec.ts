import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { seededRandom } from '@wagtailway/core'
import type { BackendServer } from '../../model/backendServer.js'
import { levelAfter, selectEvenly } from '../selectEvenly.js'

function serversOf(count: number): BackendServer[] {
  return Array.from({ length: count }, (_, i) => ({
    id: `s${i}`,
    startedAtMs: 0,
    service: 'lookup',
    host: '10.0.0.1',
    port: 1,
    zone: 'z1',
    version: 'v1',
    slots: 6,
    isDraining: false,
  }))
}

function countSelections(loads: readonly number[], selections: number): number[] {
  const servers = serversOf(loads.length)
  const random = seededRandom(1)
  const counts = loads.map(() => 0)
  for (let n = 0; n < selections; n += 1) {
    const selected = selectEvenly(
      servers,
      (id) => loads[Number(id.slice(1))] ?? 0,
      random,
    )
    const index = servers.findIndex(({ id }) => id === selected?.id)
    counts[index] = (counts[index] ?? 0) + 1
  }
  return counts
}

describe('levelAfter', () => {
  it('fills the lowest loads first', () => {
    assert.equal(levelAfter([1, 2, 9], 3), 3)
    assert.equal(levelAfter([9, 1, 2], 18), 10)
    assert.equal(levelAfter([4], 2), 6)
  })
})

describe('selectEvenly', () => {
  it('spreads requests over servers with about the same load', () => {
    const counts = countSelections([4, 5, 4, 5], 4_000)
    assert.ok(Math.min(...counts) > 800, counts.join(' '))
  })

  it('sends more to a server the lower its load is, and few to one far above', () => {
    const [low = 0, middle = 0, high = 0] = countSelections([0, 4, 60], 4_000)
    assert.ok(low > middle && middle > 0, `${low} ${middle}`)
    assert.ok(high < low / 10, `${high}`)
  })

  it('spreads requests over all servers while nothing is in progress', () => {
    const counts = countSelections([0, 0, 0, 0, 0], 5_000)
    assert.ok(Math.min(...counts) > 800, counts.join(' '))
  })

  it('returns undefined without servers', () => {
    assert.equal(
      selectEvenly([], () => 0, seededRandom(1)),
      undefined,
    )
  })
})
