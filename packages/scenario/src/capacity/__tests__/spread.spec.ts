import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { MAX_PROPAGATION_MS, spreadTrials, violations } from '../spreadReport.js'
import { SPREAD_FAULTS } from '../spreadTrial.js'

describe('propagation of a configuration change', () => {
  it('is in force on every node in time under every fault and is never reverted', () => {
    const trials = spreadTrials({
      nodes: 12,
      trials: SPREAD_FAULTS.length,
      seed: 11,
      loss: 0,
    })
    assert.deepEqual(violations(trials), [])
  })

  it('reports late, reverted, incomplete and never accepted changes', () => {
    const [good] = spreadTrials({ nodes: 6, trials: 1, seed: 1, loss: 0 })
    assert.ok(good)
    const bad = [
      { ...good, lastOldMs: MAX_PROPAGATION_MS + 1 },
      { ...good, reverted: 1 },
      { ...good, caughtUp: good.running - 1 },
      { ...good, acceptedMs: Number.POSITIVE_INFINITY },
    ]
    assert.deepEqual(violations([good, ...bad]), bad)
  })
})
