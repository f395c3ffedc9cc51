import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { cascadeModels, judgeAnswer, type AcceptanceInputs } from '../cascade.js'

const INPUTS: AcceptanceInputs = {
  priority: 0,
  index: 0,
  modelCount: 2,
  confidence: 20,
  nextExpectedMs: 300,
  toTargetMs: 2_900,
  hasAttemptsLeft: true,
  repeatsLeft: 1,
}

describe('judgeCompletion', () => {
  it('asks the next model if the confidence is low or missing', () => {
    assert.equal(judgeAnswer(INPUTS, {}), 'ask_next')
    assert.equal(judgeAnswer({ ...INPUTS, confidence: undefined }, {}), 'ask_next')
  })

  it('accepts a completion with enough confidence for its priority', () => {
    const inputs = { ...INPUTS, confidence: 50 }
    assert.equal(judgeAnswer(inputs, { leastConfidence: [60, 40] }), 'ask_next')
    assert.equal(
      judgeAnswer({ ...inputs, priority: 1 }, { leastConfidence: [60, 40] }),
      'sure_enough',
    )
  })

  it('accepts the completion if the next model would miss the target', () => {
    assert.equal(
      judgeAnswer({ ...INPUTS, nextExpectedMs: 3_000 }, {}),
      'no_time_for_next',
    )
  })

  it('leaves a growing queue to more urgent requests', () => {
    const loadedQueue = { ...INPUTS, nextExpectedMs: 1_500 }
    assert.equal(judgeAnswer(loadedQueue, {}), 'ask_next')
    assert.equal(judgeAnswer({ ...loadedQueue, priority: 2 }, {}), 'no_time_for_next')
  })

  it('accepts the largest model’s completion, and any if no further attempt is allowed', () => {
    assert.equal(judgeAnswer({ ...INPUTS, index: 1 }, {}), 'largest_model')
    assert.equal(judgeAnswer({ ...INPUTS, hasAttemptsLeft: false }, {}), 'no_repeat_left')
    assert.equal(judgeAnswer({ ...INPUTS, repeatsLeft: 0 }, {}), 'no_repeat_left')
  })

  it('reserves the last of the retry budget for requests whose server failed', () => {
    assert.equal(judgeAnswer({ ...INPUTS, repeatsLeft: 0.09 }, {}), 'no_repeat_left')
    assert.equal(judgeAnswer({ ...INPUTS, repeatsLeft: 0.11 }, {}), 'ask_next')
  })

  it('leaves a scarce retry budget to more urgent requests', () => {
    const lowBudget = { ...INPUTS, repeatsLeft: 0.25 }
    assert.equal(judgeAnswer({ ...lowBudget, priority: 1 }, {}), 'ask_next')
    assert.equal(judgeAnswer({ ...lowBudget, priority: 2 }, {}), 'no_repeat_left')
  })
})

describe('cascadeModels', () => {
  it('keeps only the smallest and the largest model of the path `ends`', () => {
    assert.deepEqual(cascadeModels(['s', 'm', 'l'], { path: 'ends' }), ['s', 'l'])
    assert.deepEqual(cascadeModels(['s', 'm', 'l'], {}), ['s', 'm', 'l'])
    assert.deepEqual(cascadeModels([], { path: 'ends' }), [])
  })
})
