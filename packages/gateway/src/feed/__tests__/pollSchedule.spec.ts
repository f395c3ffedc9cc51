import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { planLook, type LookInputs } from '../pollSchedule.js'

const BOUND_MS = 3_000

const INPUTS: LookInputs = {
  boundMs: BOUND_MS,
  isMeeting: false,
  instanceCount: 75,
  zoneRank: 5,
  isKnown: true,
  ageMs: 500,
  failures: 0,
  sinceLookMs: 10_000,
}

/** Calls of a large fleet in a minute in which reports go round in time. */
function callsInAMinute(instances: number, zones: number): number {
  const watchers = zones
  const { waitMs } = planLook({ ...INPUTS, instanceCount: instances, zoneRank: 0 }) ?? {}
  assert.ok(waitMs !== undefined)
  return (watchers * 60_000) / waitMs
}

describe('planLook', () => {
  it('has each instance of a small fleet watch', () => {
    const look = planLook({ ...INPUTS, instanceCount: 8 })
    assert.ok((look?.waitMs ?? 0) > 0)
  })

  it('lets calls grow with zones, not with instances', () => {
    assert.equal(callsInAMinute(75, 3), callsInAMinute(430, 3))
    assert.equal(planLook(INPUTS), undefined)
  })

  it('looks in time before the bound if nothing is heard', () => {
    let ageMs = 0
    while (!planLook({ ...INPUTS, ageMs })) ageMs += 10
    assert.ok(ageMs <= BOUND_MS * 0.85, `${ageMs} ms`)
  })

  it('asks seldom while the store is away, unless it watches for its zone', () => {
    const away = { ...INPUTS, ageMs: 20_000, failures: 3, sinceLookMs: 1_000 }
    assert.equal(planLook(away), undefined)
    assert.ok(planLook({ ...away, zoneRank: 0 }))
    assert.ok(planLook({ ...away, sinceLookMs: 5_000 }))
  })

  it('lists at once when it knows nothing, and meets the others before it watches', () => {
    assert.deepEqual(planLook({ ...INPUTS, isKnown: false }), { waitMs: 0 })
    const alone = { ...INPUTS, isMeeting: true, instanceCount: 1, zoneRank: 0 }
    assert.equal(planLook(alone), undefined)
    assert.ok(planLook({ ...alone, isMeeting: false }))
  })
})
