import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock, hash32 } from '@wagtailway/core'
import { LoadTable, expectedWaitMs } from '../serverLoad.js'

/** Longest interval of reports between 195 instances, in milliseconds. */
const LARGE_FLEET_INTERVAL_MS = 4_656

function setUp(reportIntervalMs = 300) {
  const clock = VirtualClock.create(0)
  const table = LoadTable.create(clock.now, () => reportIntervalMs)
  return { clock, table }
}

const REPORTED = new Map([['s1', { running: 2, waitingMs: [0, 50] }]])

describe('LoadTable', () => {
  // Guards against: waits beyond what messages hold, from counts of tokens that callers name.
  it('counts at most an hour for each request', () => {
    const { table } = setUp()
    table.begin('s1', 1e15, 0)
    table.begin('s1', 40, 0)
    assert.deepEqual(table.total('s1').waitingMs, [3_600_040])
    table.prefillDone('s1', 1e15, 0)
    assert.deepEqual(table.total('s1').waitingMs, [40])
  })

  it('counts waits of an odd urgency at the nearest level', () => {
    const { table } = setUp()
    table.begin('s1', 30, -2)
    table.begin('s1', 20, 1.5)
    assert.deepEqual(table.total('s1').waitingMs, [30, 20])
    table.prefillDone('s1', 30, -2)
    table.prefillDone('s1', 20, 1.5)
    assert.deepEqual(table.total('s1').waitingMs, [0, 0])
  })

  it('adds up the loads of this process and of all reports', () => {
    const { table } = setUp()
    table.begin('s1', 30, 2)
    table.applyReport('n2', REPORTED)
    table.applyReport('n3', REPORTED)
    assert.deepEqual(table.total('s1'), { running: 5, waitingMs: [0, 100, 30] })
    table.applyReport('n3', new Map())
    table.prefillDone('s1', 30, 2)
    assert.deepEqual(table.total('s1'), { running: 3, waitingMs: [0, 50, 0] })
    table.end('s1')
    assert.equal(table.total('s1').running, 2)
  })

  it('keeps a report until the next two are overdue, however rare they are', () => {
    for (const intervalMs of [300, LARGE_FLEET_INTERVAL_MS]) {
      const { clock, table } = setUp(intervalMs)
      table.applyReport('n2', REPORTED)
      clock.advance(intervalMs + 500)
      assert.equal(table.total('s1').running, 2)
      clock.advance(Math.max(4_000, 2 * intervalMs))
      assert.equal(table.total('s1').running, 0)
    }
  })

  it('replaces its part of the loads of the fleet by what it knows itself', () => {
    const { clock, table } = setUp()
    table.begin('s1', 30, 1)
    const ownLoads = table.localLoadsByHash
    const fleet = new Map([[hash32('s1'), { running: 9, waitingMs: [0, 400] }]])
    table.applyFleet(fleet, ownLoads, 3_000)
    assert.deepEqual(table.total('s1'), { running: 9, waitingMs: [0, 400] })
    table.prefillDone('s1', 30, 1)
    table.end('s1')
    assert.deepEqual(table.total('s1'), { running: 8, waitingMs: [0, 370] })
    clock.advance(3_000)
    assert.equal(table.hasFleetLoads, false)
    assert.equal(table.total('s1').running, 0)
  })
})

describe('expectedWaitMs', () => {
  it('counts a tenth of the work that a server does later', () => {
    assert.equal(expectedWaitMs({ running: 2, waitingMs: [5, 100, 800] }, 1), 185)
    assert.equal(expectedWaitMs({ running: 2, waitingMs: [5, 100, 800] }, 9), 905)
  })
})
