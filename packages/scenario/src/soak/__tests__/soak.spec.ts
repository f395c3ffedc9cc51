import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { runSoak } from '../runSoak.js'

/** Seeds that broke a promise in the past, each with the cause. */
const REGRESSIONS: readonly (readonly [seed: number, cause: string])[] = []

const SEEDS = [1, 2]

describe('the fault soak', () => {
  for (const seed of [...SEEDS, ...REGRESSIONS.map(([failedSeed]) => failedSeed)]) {
    it(`breaks no promise with seed ${seed}`, async () => {
      const report = await runSoak({ seed, gateways: 3, faultsMs: 5_000 })
      assert.deepEqual(report.findings, [], report.faults.join(', '))
      assert.ok(report.answered > report.calls / 2, `${report.answered} answered`)
    })
  }
})
