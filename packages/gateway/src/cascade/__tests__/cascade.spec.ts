import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { cascadeModels, judgeCompletion, type AcceptanceInputs } from '../cascade.js'

const INPUTS: AcceptanceInputs = {
  priority: 0,
  modelIndex: 0,
  modelCount: 2,
  confidence: 20,
  nextExpectedMs: 300,
  toTargetMs: 2_900,
  hasAttemptsLeft: true,
  retryBudgetLeft: 1,
}

describe('judgeAnswer', () => {
  it('asks the next model if the first is not sure', () => {
    assert.equal(judgeCompletion(INPUTS, {}), 'ask_next')
    assert.equal(judgeCompletion({ ...INPUTS, confidence: undefined }, {}), 'ask_next')
  })

  it('takes an answer that is sure enough for its priority', () => {
    const inputs = { ...INPUTS, confidence: 50 }
    assert.equal(judgeCompletion(inputs, { leastConfidence: [60, 40] }), 'ask_next')
    assert.equal(
      judgeCompletion({ ...inputs, priority: 1 }, { leastConfidence: [60, 40] }),
      'sure_enough',
    )
  })

  it('takes the answer there is when the next one would come too late', () => {
    assert.equal(
      judgeCompletion({ ...INPUTS, nextExpectedMs: 3_000 }, {}),
      'no_time_for_next',
    )
  })

  it('leaves a filling queue to the more urgent requests', () => {
    const filling = { ...INPUTS, nextExpectedMs: 1_500 }
    assert.equal(judgeCompletion(filling, {}), 'ask_next')
    assert.equal(judgeCompletion({ ...filling, priority: 2 }, {}), 'no_time_for_next')
  })

  it('takes the largest model’s answer, and any if nothing may be sent again', () => {
    assert.equal(judgeCompletion({ ...INPUTS, modelIndex: 1 }, {}), 'largest_model')
    assert.equal(
      judgeCompletion({ ...INPUTS, hasAttemptsLeft: false }, {}),
      'no_repeat_left',
    )
    assert.equal(judgeCompletion({ ...INPUTS, retryBudgetLeft: 0 }, {}), 'no_repeat_left')
  })

  it('leaves the last of the repeats to requests whose server failed', () => {
    assert.equal(
      judgeCompletion({ ...INPUTS, retryBudgetLeft: 0.09 }, {}),
      'no_repeat_left',
    )
    assert.equal(judgeCompletion({ ...INPUTS, retryBudgetLeft: 0.11 }, {}), 'ask_next')
  })

  it('leaves scarce repeats to the more urgent requests', () => {
    const scarce = { ...INPUTS, retryBudgetLeft: 0.25 }
    assert.equal(judgeCompletion({ ...scarce, priority: 1 }, {}), 'ask_next')
    assert.equal(judgeCompletion({ ...scarce, priority: 2 }, {}), 'no_repeat_left')
  })
})

describe('cascadeModels', () => {
  it('keeps the ends of the list', () => {
    assert.deepEqual(cascadeModels(['s', 'm', 'l'], { path: 'ends' }), ['s', 'l'])
    assert.deepEqual(cascadeModels(['s', 'm', 'l'], {}), ['s', 'm', 'l'])
    assert.deepEqual(cascadeModels([], { path: 'ends' }), [])
  })
})
