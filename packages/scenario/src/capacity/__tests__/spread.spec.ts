import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { IN_FORCE_MS, spreadTrials, violations } from '../spreadReport.js'
import { SPREAD_FAULTS } from '../spreadTrial.js'

describe('spread of a configuration change', () => {
  it('is in force everywhere in time, whatever fails, and reverts nowhere', () => {
    const trials = spreadTrials({
      nodes: 12,
      trials: SPREAD_FAULTS.length,
      seed: 11,
      loss: 0,
    })
    assert.deepEqual(violations(trials), [])
  })

  it('counts a trial that was late, went back or did not catch up', () => {
    const [good] = spreadTrials({ nodes: 6, trials: 1, seed: 1, loss: 0 })
    assert.ok(good)
    const bad = [
      { ...good, lastOldMs: IN_FORCE_MS + 1 },
      { ...good, reverted: 1 },
      { ...good, caughtUp: good.running - 1 },
      { ...good, acceptedMs: Number.POSITIVE_INFINITY },
    ]
    assert.deepEqual(violations([good, ...bad]), bad)
  })
})
