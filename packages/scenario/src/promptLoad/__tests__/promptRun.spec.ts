import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { evaluateCompletion } from '@wagtailway/gateway'
import { VirtualTime } from '../../loadModel/virtualTime.js'
import { EngineModel, type EngineJob } from '../engineModel.js'
import {
  runPromptLoad,
  type PromptRunOptions,
  type PromptRunResult,
} from '../promptRun.js'
import { GEBETA_GROWN, SHEET_ENGINE, SHEET_MODELS } from '../promptWorkload.js'

/** Runs a sixth of the fleet after growth, with the same load per engine. */
const FLEET_DIVISOR = 6

const SATURATED: PromptRunOptions = {
  classes: GEBETA_GROWN.map((cls) => ({
    ...cls,
    requestsPerSecond: cls.requestsPerSecond / FLEET_DIVISOR,
    sharedPrefixes: Math.round(cls.sharedPrefixes / FLEET_DIVISOR),
  })),
  models: SHEET_MODELS,
  engine: SHEET_ENGINE,
  engines: 42 / FLEET_DIVISOR,
  nodes: 12,
  durationMs: 30_000,
  rateAt: (atMs) => (atMs > 8_000 && atMs < 13_000 ? 1.8 : 1.3),
  policy: { evaluate: evaluateCompletion },
  seed: 1,
}

function run(changes: Partial<PromptRunOptions>): PromptRunResult {
  return runPromptLoad({ ...SATURATED, ...changes })
}

describe('prompts in a burst on saturated engines', () => {
  const result = run({})

  it('earn more credit than with any fixed model', () => {
    const fixedRatios = SHEET_MODELS.map((model) => run({ models: [model] }).creditRatio)
    assert.ok(
      result.creditRatio > Math.max(...fixedRatios) + 0.05,
      `${result.creditRatio} of ${fixedRatios.join(' ')}`,
    )
  })

  it('leave few dossiers with a small model’s output for lack of time', () => {
    const [dossier] = result.outcomes
    assert.ok(dossier)
    assert.ok(
      dossier.noTimeForNext / dossier.requests <= 0.12,
      `${dossier.noTimeForNext}`,
    )
    assert.ok(dossier.late / dossier.requests <= 0.06, `${dossier.late}`)
  })

  it('find some of their shared prefixes in a prefix cache', () => {
    assert.ok(
      result.cacheHitTokens / (result.cacheHitTokens + result.prefilledTokens) >= 0.1,
    )
  })

  it('starve neither short prompts nor long ones', () => {
    for (const { name, earnedCredit, fullCredit } of result.outcomes) {
      assert.ok(earnedCredit / fullCredit >= 0.6, `${name} ${earnedCredit / fullCredit}`)
    }
  })
})

describe('EngineModel', () => {
  function setUp(kvCacheTokens = 100_000) {
    const time = VirtualTime.create()
    const engine = EngineModel.create(time, { ...SHEET_ENGINE, kvCacheTokens })
    const firstTokenAtMs: number[] = []
    const submit = (changes: Partial<EngineJob>) =>
      engine.submit({
        model: 'm',
        prefillFactor: 1,
        parts: [
          { id: 'shared', tokens: 10_000 },
          { id: 'own', tokens: 500 },
        ],
        outputTokens: 10,
        urgency: 1,
        onFirstToken: () => firstTokenAtMs.push(time.now()),
        onDone: () => undefined,
        ...changes,
      })
    return { time, engine, firstTokenAtMs, submit }
  }

  it('prefills a shared part once', () => {
    const { time, engine, submit } = setUp()
    submit({})
    time.runUntil(2_000)
    submit({})
    time.runUntil(4_000)
    assert.equal(engine.prefilledTokens, 11_000)
    assert.equal(engine.cacheHitTokens, 10_000)
  })

  it('evicts the least recently used part when the KV cache is full', () => {
    const { time, engine, submit } = setUp(20_000)
    const ids = ['a', 'b', 'a']
    for (const id of ids) {
      submit({
        parts: [
          { id, tokens: 12_000 },
          { id: 'own', tokens: 100 },
        ],
      })
      time.runUntil(time.now() + 2_000)
    }
    assert.equal(engine.cacheHitTokens, 0)
  })

  it('prefills the more urgent prompt first', () => {
    const { time, submit } = setUp()
    const order: string[] = []
    submit({ onFirstToken: () => order.push('long') })
    submit({
      urgency: 0,
      parts: [{ id: 'note', tokens: 300 }],
      onFirstToken: () => order.push('short'),
    })
    time.runUntil(3_000)
    assert.deepEqual(order, ['short', 'long'])
  })

  it('stops a cancelled job', () => {
    const { time, engine, submit } = setUp()
    submit({}).cancel()
    time.runUntil(2_000)
    assert.ok(engine.prefilledTokens <= SHEET_ENGINE.chunkTokens)
  })
})
