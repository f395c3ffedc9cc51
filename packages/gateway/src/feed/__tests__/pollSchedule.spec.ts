import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { planPoll, type PollInputs } from '../pollSchedule.js'

const MAX_PROPAGATION_MS = 3_000

const INPUTS: PollInputs = {
  maxPropagationMs: MAX_PROPAGATION_MS,
  isDiscovering: false,
  instanceCount: 75,
  zoneRank: 5,
  hasList: true,
  ageMs: 500,
  pullingForMs: undefined,
  failures: 0,
  sinceLastPollMs: 10_000,
}

/** Calls per minute of a large fleet in which every instance receives reports in time. */
function callsPerMinute(instances: number, zones: number): number {
  const watchers = zones
  const { waitMs } = planPoll({ ...INPUTS, instanceCount: instances, zoneRank: 0 }) ?? {}
  assert.ok(waitMs !== undefined)
  return (watchers * 60_000) / waitMs
}

describe('planPoll', () => {
  it('lets each instance of a small fleet watch', () => {
    const poll = planPoll({ ...INPUTS, instanceCount: 8 })
    assert.ok((poll?.waitMs ?? 0) > 0)
  })

  it('increases calls with the number of zones, not of instances', () => {
    assert.equal(callsPerMinute(75, 3), callsPerMinute(430, 3))
    assert.equal(planPoll(INPUTS), undefined)
  })

  it('polls early enough to meet the propagation limit without any confirmation', () => {
    let ageMs = 0
    while (!planPoll({ ...INPUTS, ageMs })) ageMs += 10
    assert.ok(ageMs <= MAX_PROPAGATION_MS * 0.85, `${ageMs} ms`)
  })

  it('polls rarely during an outage of the store unless it watches for its zone', () => {
    const duringOutage = { ...INPUTS, ageMs: 20_000, failures: 3, sinceLastPollMs: 1_000 }
    assert.equal(planPoll(duringOutage), undefined)
    assert.ok(planPoll({ ...duringOutage, zoneRank: 0 }))
    assert.ok(planPoll({ ...duringOutage, sinceLastPollMs: 5_000 }))
  })

  it('polls again after a single failure, however recent', () => {
    const failedOnce = { ...INPUTS, ageMs: 2_600, failures: 1, sinceLastPollMs: 100 }
    assert.equal(planPoll(failedOnce)?.reason, 'stale')
  })

  it('waits for other instances first while it is pulling a change', () => {
    const pulling = { ...INPUTS, ageMs: 2_900, pullingForMs: 300 }
    assert.equal(planPoll(pulling), undefined)
    const inVain = { ...INPUTS, ageMs: 900, pullingForMs: 1_700 }
    assert.equal(planPoll(inVain)?.reason, 'pull_failed')
  })

  it('requests a list at once if it has none, and watches only after the discovery period', () => {
    assert.deepEqual(planPoll({ ...INPUTS, hasList: false }), {
      reason: 'first',
      waitMs: 0,
    })
    const discovering = { ...INPUTS, isDiscovering: true, instanceCount: 1, zoneRank: 0 }
    assert.equal(planPoll(discovering), undefined)
    assert.ok(planPoll({ ...discovering, isDiscovering: false }))
  })
})
