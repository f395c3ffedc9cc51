import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { cascadeModels, evaluateCompletion, type AcceptanceInputs } from '../cascade.js'

const INPUTS: AcceptanceInputs = {
  priority: 0,
  modelIndex: 0,
  modelCount: 2,
  confidence: 20,
  nextExpectedFirstByteMs: 300,
  timeToTargetMs: 2_900,
  hasAttemptsLeft: true,
  retryBudgetLeft: 1,
}

describe('judgeCompletion', () => {
  it('asks the next model if the confidence is low or missing', () => {
    assert.equal(evaluateCompletion(INPUTS, {}), 'ask_next')
    assert.equal(evaluateCompletion({ ...INPUTS, confidence: undefined }, {}), 'ask_next')
  })

  it('accepts a completion with enough confidence for its priority', () => {
    const inputs = { ...INPUTS, confidence: 50 }
    assert.equal(evaluateCompletion(inputs, { leastConfidence: [60, 40] }), 'ask_next')
    assert.equal(
      evaluateCompletion({ ...inputs, priority: 1 }, { leastConfidence: [60, 40] }),
      'sure_enough',
    )
  })

  it('accepts the completion if the next model would miss the target', () => {
    assert.equal(
      evaluateCompletion({ ...INPUTS, nextExpectedFirstByteMs: 3_000 }, {}),
      'no_time_for_next',
    )
  })

  it('leaves a growing queue to more urgent requests', () => {
    const loadedQueue = { ...INPUTS, nextExpectedMs: 1_500 }
    assert.equal(evaluateCompletion(loadedQueue, {}), 'ask_next')
    assert.equal(
      evaluateCompletion({ ...loadedQueue, priority: 2 }, {}),
      'no_time_for_next',
    )
  })

  it('accepts the largest model’s completion, and any if no further attempt is allowed', () => {
    assert.equal(evaluateCompletion({ ...INPUTS, modelIndex: 1 }, {}), 'largest_model')
    assert.equal(
      evaluateCompletion({ ...INPUTS, hasAttemptsLeft: false }, {}),
      'no_repeat_left',
    )
    assert.equal(
      evaluateCompletion({ ...INPUTS, retryBudgetLeft: 0 }, {}),
      'no_repeat_left',
    )
  })

  it('reserves the last of the retry budget for requests whose server failed', () => {
    assert.equal(
      evaluateCompletion({ ...INPUTS, retryBudgetLeft: 0.09 }, {}),
      'no_repeat_left',
    )
    assert.equal(evaluateCompletion({ ...INPUTS, retryBudgetLeft: 0.11 }, {}), 'ask_next')
  })

  it('leaves a scarce retry budget to more urgent requests', () => {
    const lowBudget = { ...INPUTS, retryBudgetLeft: 0.25 }
    assert.equal(evaluateCompletion({ ...lowBudget, priority: 1 }, {}), 'ask_next')
    assert.equal(evaluateCompletion({ ...lowBudget, priority: 2 }, {}), 'no_repeat_left')
  })
})

describe('cascadeModels', () => {
  it('keeps only the smallest and the largest model of the path `ends`', () => {
    assert.deepEqual(cascadeModels(['s', 'm', 'l'], { path: 'ends' }), ['s', 'l'])
    assert.deepEqual(cascadeModels(['s', 'm', 'l'], {}), ['s', 'm', 'l'])
    assert.deepEqual(cascadeModels([], { path: 'ends' }), [])
  })
})
