import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { MODELS, hunt, type ModelName } from '../hunt.js'
import { ignoreRevisions } from '../virtualPlatform.js'

/** Number of schedules that must violate no guarantee; models that run fast get more. */
const RUNS: Record<ModelName, number> = {
  claims: 200,
  lease: 40,
  ledger: 50,
  sessions: 60,
}
/** Number of schedules of which at least one must fail if the store is defective. */
const DEFECT_RUNS = 400
const SEED = 7

describe('random fault schedules in virtual time', () => {
  for (const model of Object.keys(MODELS) as ModelName[]) {
    it(`violate no guarantee of ${model}`, async () => {
      const { failure } = await hunt({ model, runs: RUNS[model], seed: SEED })
      assert.equal(failure, undefined)
    })

    it(`make ${model} fail if the platform does not compare revisions`, async () => {
      const { failure } = await hunt({
        model,
        runs: DEFECT_RUNS,
        seed: SEED,
        shrinks: false,
        storeDefect: ignoreRevisions,
      })
      assert.notEqual(failure, undefined)
    })
  }
})
