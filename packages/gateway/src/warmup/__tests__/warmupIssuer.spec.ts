import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ISSUE_WINDOW_MS, MAX_BOUND, divideBound } from '../warmupBound.js'
import { WarmupIssuer, type WarmupRole } from '../warmupIssuer.js'

const BOUND = 15.05

let nowMs: number
let askId: number
let issuer: WarmupIssuer

beforeEach(() => {
  nowMs = 50_000
  askId = 0
  issuer = WarmupIssuer.create(() => nowMs)
})

/** Asks every 10 ms; returns when each permit was issued. */
function askRegularly(forMs: number, roleAt: (atMs: number) => WarmupRole): number[] {
  const issued: number[] = []
  for (let atMs = 0; atMs < forMs; atMs += 10) {
    nowMs += 10
    askId += 1
    const ask = {
      id: askId,
      incarnation: 's1 5',
      bound: BOUND,
      count: 5,
      asker: `n${askId % 3}`,
    }
    const { count } = issuer.issue(ask, roleAt(atMs), 1)
    for (let i = 0; i < count; i += 1) issued.push(nowMs)
  }
  return issued
}

function mostInWindow(times: readonly number[]): number {
  const counts = times.map(
    (fromMs) =>
      times.filter((atMs) => atMs >= fromMs && atMs < fromMs + ISSUE_WINDOW_MS).length,
  )
  return Math.max(...counts)
}

describe('the bound on requests to a cold server', () => {
  it('holds for two responsible instances and a deputy together', () => {
    for (let bound = 0; bound <= MAX_BOUND; bound += 0.7) {
      const { responsible, deputy } = divideBound(bound)
      // Below three there is nothing to divide, and one permit keeps the service alive.
      if (bound >= 3) assert.ok(2 * responsible + deputy <= bound, String(bound))
      else assert.ok(responsible <= bound && deputy === 0, String(bound))
    }
    assert.deepEqual(divideBound(BOUND), { responsible: 7, deputy: 1 })
    assert.deepEqual(divideBound(17), { responsible: 8, deputy: 1 })
  })
})

describe('the permits of a cold server', () => {
  // Guards against: permits that were not used in one second and add to those of the next.
  it('are never more than the quota in any window, also after a pause', () => {
    const before = askRegularly(5_000, () => 'responsible')
    nowMs += 9_000
    const after = askRegularly(5_000, () => 'responsible')
    assert.equal(mostInWindow([...before, ...after]), 7)
    assert.ok(before.length >= 24, `${before.length} permits in 5 s`)
  })

  // Guards against: a change of the role that begins a second quota in the same window.
  it('are counted together while the role changes', () => {
    const issued = askRegularly(5_000, (atMs) =>
      atMs % 400 < 200 ? 'responsible' : 'deputy',
    )
    assert.ok(mostInWindow(issued) <= 7)
  })

  // Guards against: requests that were sent before the cold time was known, added to the bound.
  it('are half as many in the first window', () => {
    assert.equal(askRegularly(ISSUE_WINDOW_MS - 10, () => 'responsible').length, 3)
  })

  // Guards against: instances that are cut off and all issue to themselves, until they know.
  it('go to one instance for half of them at most', () => {
    askRegularly(3_000, () => 'none')
    let total = 0
    for (let id = 0; id < 10; id += 1) {
      const ask = { id, incarnation: 's1 5', bound: BOUND, count: 1, asker: 'm1' }
      total += issuer.issue(ask, 'responsible', 1).count
    }
    assert.equal(total, 4)
  })

  it('are none from an instance that is neither responsible nor the deputy', () => {
    assert.deepEqual(
      askRegularly(3_000, () => 'none'),
      [],
    )
  })

  // Guards against: a lost answer that costs the server a second permit.
  it('are the same for an ask that is sent again', () => {
    askRegularly(3_000, () => 'none')
    const ask = { id: 9_999, incarnation: 's1 5', bound: BOUND, count: 2, asker: 'n2' }
    const first = issuer.issue(ask, 'responsible', 1)
    assert.equal(first.count, 2)
    assert.equal(issuer.issue(ask, 'responsible', 1), first)
  })

  it('are fewer from an instance that reaches a minority', () => {
    askRegularly(3_000, () => 'none')
    let count = 0
    for (let id = 0; id < 10; id += 1) {
      const ask = { id, incarnation: 's1 5', bound: BOUND, count: 1, asker: `m${id}` }
      count += issuer.issue(ask, 'responsible', 0.4).count
    }
    assert.equal(count, 2)
  })
})
