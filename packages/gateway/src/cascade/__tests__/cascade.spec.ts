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

describe('judgeCompletion', () => {
  it('asks the next model if the confidence is low or missing', () => {
    assert.equal(judgeCompletion(INPUTS, {}), 'ask_next')
    assert.equal(judgeCompletion({ ...INPUTS, confidence: undefined }, {}), 'ask_next')
  })

  it('accepts a completion with enough confidence for its priority', () => {
    const inputs = { ...INPUTS, confidence: 50 }
    assert.equal(judgeCompletion(inputs, { leastConfidence: [60, 40] }), 'ask_next')
    assert.equal(
      judgeCompletion({ ...inputs, priority: 1 }, { leastConfidence: [60, 40] }),
      'sure_enough',
    )
  })

  it('accepts the completion if the next model would miss the target', () => {
    assert.equal(
      judgeCompletion({ ...INPUTS, nextExpectedMs: 3_000 }, {}),
      'no_time_for_next',
    )
  })

  it('leaves a growing queue to more urgent requests', () => {
    const loadedQueue = { ...INPUTS, nextExpectedMs: 1_500 }
    assert.equal(judgeCompletion(loadedQueue, {}), 'ask_next')
    assert.equal(judgeCompletion({ ...loadedQueue, priority: 2 }, {}), 'no_time_for_next')
  })

  it('accepts the largest model’s completion, and any if no further attempt is allowed', () => {
    assert.equal(judgeCompletion({ ...INPUTS, modelIndex: 1 }, {}), 'largest_model')
    assert.equal(
      judgeCompletion({ ...INPUTS, hasAttemptsLeft: false }, {}),
      'no_repeat_left',
    )
    assert.equal(judgeCompletion({ ...INPUTS, retryBudgetLeft: 0 }, {}), 'no_repeat_left')
  })

  it('reserves the last of the retry budget for requests whose server failed', () => {
    assert.equal(
      judgeCompletion({ ...INPUTS, retryBudgetLeft: 0.09 }, {}),
      'no_repeat_left',
    )
    assert.equal(judgeCompletion({ ...INPUTS, retryBudgetLeft: 0.11 }, {}), 'ask_next')
  })

  it('leaves a scarce retry budget to more urgent requests', () => {
    const lowBudget = { ...INPUTS, retryBudgetLeft: 0.25 }
    assert.equal(judgeCompletion({ ...lowBudget, priority: 1 }, {}), 'ask_next')
    assert.equal(judgeCompletion({ ...lowBudget, priority: 2 }, {}), 'no_repeat_left')
  })
})

describe('cascadeModels', () => {
  it('keeps only the smallest and the largest model of the path `ends`', () => {
    assert.deepEqual(cascadeModels(['s', 'm', 'l'], { path: 'ends' }), ['s', 'l'])
    assert.deepEqual(cascadeModels(['s', 'm', 'l'], {}), ['s', 'm', 'l'])
    assert.deepEqual(cascadeModels([], { path: 'ends' }), [])
  })
})
