import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { FAULT_NAMES, planFaults } from '../soakFaults.js'

/** Names, pauses and first random numbers of a schedule. */
function plan(seed: number): unknown[] {
  return planFaults(seed, FAULT_NAMES, 8_000).map(({ fault, pauseMs, random }) => [
    fault.name,
    pauseMs,
    random(),
  ])
}

describe('the schedule of the soak', () => {
  it('depends on the seed alone', () => {
    assert.deepEqual(plan(1), plan(1))
    assert.notDeepEqual(plan(1), plan(2))
  })

  it('has only the faults that are named, for as long as told', () => {
    const planned = planFaults(3, ['kill', 'store down'], 4_000)
    const names = new Set(planned.map(({ fault }) => fault.name))
    assert.deepEqual([...names].sort(), ['kill', 'store down'])
    const totalMs = planned.reduce((sum, { pauseMs }) => sum + pauseMs, 0)
    assert.ok(totalMs >= 4_000 && totalMs < 5_000, `${totalMs}`)
  })

  it('has each fault in some seed', () => {
    const seeds = Array.from({ length: 50 }, (_, i) => planFaults(i, FAULT_NAMES, 8_000))
    const names = new Set(seeds.flat().map(({ fault }) => fault.name))
    assert.deepEqual([...names].sort(), [...FAULT_NAMES].sort())
  })
})
