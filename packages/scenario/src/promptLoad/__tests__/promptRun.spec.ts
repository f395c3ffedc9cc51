import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { evaluateCompletion } from '@wagtailway/gateway'
import { VirtualTime } from '../../loadModel/virtualTime.js'
import { EngineModel, type EngineJob } from '../engineModel.js'
import { playPrompts, type PromptRunOptions, type PromptRunResult } from '../promptRun.js'
import { GEBETA_GROWN, SHEET_ENGINE, SHEET_MODELS } from '../promptWorkload.js'

/** A sixth of the fleet after growth: as many requests for each engine. */
const PART = 6

const FULL: PromptRunOptions = {
  classes: GEBETA_GROWN.map((cls) => ({
    ...cls,
    perS: cls.perS / PART,
    subjects: Math.round(cls.subjects / PART),
  })),
  models: SHEET_MODELS,
  engine: SHEET_ENGINE,
  engines: 42 / PART,
  nodes: 12,
  durationMs: 30_000,
  rateAt: (atMs) => (atMs > 8_000 && atMs < 13_000 ? 1.8 : 1.3),
  policy: { judge: evaluateCompletion },
  seed: 1,
}

function play(changes: Partial<PromptRunOptions>): PromptRunResult {
  return playPrompts({ ...FULL, ...changes })
}

describe('prompts in a burst, with engines full', () => {
  const ours = play({})

  it('earn more than any fixed model', () => {
    const fixed = SHEET_MODELS.map((model) => play({ models: [model] }).worth)
    assert.ok(
      ours.worth > Math.max(...fixed) + 0.05,
      `${ours.worth} of ${fixed.join(' ')}`,
    )
  })

  it('leave few dossiers with a small model’s answer for want of time', () => {
    const [dossier] = ours.outcomes
    assert.ok(dossier)
    assert.ok(dossier.noTime / dossier.asked <= 0.12, `${dossier.noTime}`)
    assert.ok(dossier.late / dossier.asked <= 0.06, `${dossier.late}`)
  })

  it('find a part of the shared prompts where they were read before', () => {
    assert.ok(ours.keptTokens / (ours.keptTokens + ours.readTokens) >= 0.1)
  })

  it('starve neither short prompts nor long ones', () => {
    for (const { name, earned, owed } of ours.outcomes) {
      assert.ok(earned / owed >= 0.6, `${name} ${earned / owed}`)
    }
  })
})

describe('EngineModel', () => {
  function setUp(memoryTokens = 100_000) {
    const time = VirtualTime.create()
    const engine = EngineModel.create(time, { ...SHEET_ENGINE, memoryTokens })
    const firstAtMs: number[] = []
    const submit = (changes: Partial<EngineJob>) =>
      engine.submit({
        model: 'm',
        pace: 1,
        parts: [
          { id: 'shared', tokens: 10_000 },
          { id: 'own', tokens: 500 },
        ],
        outputTokens: 10,
        urgency: 1,
        onFirstToken: () => firstAtMs.push(time.now()),
        onDone: () => undefined,
        ...changes,
      })
    return { time, engine, firstAtMs, submit }
  }

  it('reads a shared part once', () => {
    const { time, engine, submit } = setUp()
    submit({})
    time.runUntil(2_000)
    submit({})
    time.runUntil(4_000)
    assert.equal(engine.readTokens, 11_000)
    assert.equal(engine.keptTokens, 10_000)
  })

  it('lets the least recently used part yield when memory runs out', () => {
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
    assert.equal(engine.keptTokens, 0)
  })

  it('reads the more urgent prompt first', () => {
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

  it('stops work that was cancelled', () => {
    const { time, engine, submit } = setUp()
    submit({}).cancel()
    time.runUntil(2_000)
    assert.ok(engine.readTokens <= SHEET_ENGINE.chunkTokens)
  })
})
