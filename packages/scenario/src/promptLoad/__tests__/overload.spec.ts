import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { evaluateCompletion } from '@wagtailway/gateway'
import { aggregateByZone } from '../loadSharing.js'
import { runPromptLoad, type PromptRunOptions } from '../promptRun.js'
import { GEBETA_LARGE, SHEET_ENGINE, SHEET_MODELS } from '../promptWorkload.js'

/** A part of the fleet of hundreds, with the same load for each engine. */
const ENGINES = 11
const FLEET_DIVISOR = 55 / ENGINES
const DURATION_MS = 15_000

const USUAL: PromptRunOptions = {
  classes: GEBETA_LARGE.map((cls) => ({
    ...cls,
    requestsPerSecond: cls.requestsPerSecond / FLEET_DIVISOR,
    sharedPrefixes: Math.round(cls.sharedPrefixes / FLEET_DIVISOR),
  })),
  models: SHEET_MODELS,
  engine: SHEET_ENGINE,
  engines: ENGINES,
  nodes: 40,
  zones: 5,
  durationMs: DURATION_MS,
  rateAt: () => 1,
  policy: { evaluate: evaluateCompletion },
  shareLoads: aggregateByZone,
  seed: 1,
}

/** Credit earned in a run. */
function earned(changes: Partial<PromptRunOptions>): number {
  const { outcomes } = runPromptLoad({ ...USUAL, ...changes })
  return outcomes.reduce((sum, { earnedCredit }) => sum + earnedCredit, 0)
}

describe('a load beyond the capacity of all engines', () => {
  const usual = earned({})

  for (const factor of [2, 5, 10]) {
    it(`of ${factor} times the usual earns no less than the usual one`, () => {
      const overloaded = earned({ rateAt: () => factor })
      assert.ok(overloaded >= 0.95 * usual, `${overloaded} of ${usual}`)
    })
  }

  it('has no effect on arrivals 10 s after its end', () => {
    // The arrivals differ between the runs, so credit is compared with what was possible.
    const ratioLater = (overload: number): number =>
      runPromptLoad({
        ...USUAL,
        rateAt: (atMs) => (atMs < 5_000 ? overload : 1),
        durationMs: 20_000,
        countFromMs: 15_000,
      }).creditRatio
    const [after, usually] = [ratioLater(5), ratioLater(1)]
    assert.ok(after >= 0.95 * usually, `${after} of ${usually}`)
  })
})
