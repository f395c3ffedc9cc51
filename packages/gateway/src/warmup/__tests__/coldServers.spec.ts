import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import type { BackendServer, ColdNotice } from '../../model/backendServer.js'
import { ColdServers, type ColdChange } from '../coldServers.js'

let nowMs: number
let cold: ColdServers
let changes: ColdChange[]

function entry(
  remainingMs: ColdNotice['remainingMs'],
  revision: number,
  startedAtMs = 5,
): BackendServer {
  return {
    id: 's1',
    startedAtMs,
    service: 'plain',
    host: '10.0.0.1',
    port: 80,
    zone: 'z1',
    version: 'v1',
    slots: 6,
    isDraining: false,
    cold: { remainingMs, revision },
  }
}

beforeEach(() => {
  nowMs = 50_000
  changes = []
  cold = ColdServers.create({
    clock: () => nowMs,
    onChange: (change) => changes.push(change),
  })
})

describe('the cold time of a server', () => {
  it('ends at the time that its entry tells, or at once if a newer entry says so', () => {
    cold.apply(entry(3_000, 1))
    nowMs += 1_000
    assert.equal(cold.forMs(entry(0, 1)), 2_000)
    cold.apply(entry(0, 2))
    assert.equal(cold.forMs(entry(0, 2)), 0)
    cold.apply(entry(3_000, 3))
    assert.equal(cold.forMs(entry(0, 3)), 3_000)
    assert.equal(changes.length, 2)
  })

  // Guards against: an entry that arrives again, or late, and begins or ends the time once more.
  it('is not changed by an entry that is older or repeated', () => {
    cold.apply(entry(3_000, 4))
    nowMs += 1_000
    cold.apply(entry(3_000, 4))
    cold.apply(entry(0, 3))
    assert.equal(cold.forMs(entry(0, 4)), 2_000)
  })

  // Guards against: a store restored from a copy in which the server was still warm.
  it('is not ended by an entry of a restored store', () => {
    cold.apply(entry(3_000, 4))
    cold.apply(entry(0, 2), true)
    assert.equal(cold.forMs(entry(0, 2)), 3_000)
    cold.apply(entry(0, 3))
    assert.equal(cold.forMs(entry(0, 3)), 0)
  })

  // Guards against: the cold time of a process that has ended applied to the next one.
  it('belongs to one incarnation', () => {
    cold.apply(entry(3_000, 1, 5))
    assert.equal(cold.forMs(entry(0, 1, 6)), 0)
    cold.apply(entry(2_000, 2, 6))
    cold.forget(entry(0, 1, 5))
    assert.equal(cold.forMs(entry(0, 2, 6)), 2_000)
  })

  it('that can not be read changes nothing and is reported once', () => {
    cold.apply(entry(3_000, 1))
    cold.apply(entry('invalid', 2))
    cold.apply(entry('invalid', 3))
    assert.equal(cold.forMs(entry(0, 1)), 3_000)
    assert.deepEqual(
      changes.map(({ forMs }) => forMs),
      [3_000, 'invalid'],
    )
  })
})
