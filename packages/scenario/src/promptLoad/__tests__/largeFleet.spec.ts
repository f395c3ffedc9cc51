import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { evaluateCompletion } from '@wagtailway/gateway'
import { aggregateByZone, reportToEach, type LoadSharing } from '../loadSharing.js'
import {
  runPromptLoad,
  type PromptRunOptions,
  type PromptRunResult,
} from '../promptRun.js'
import { GEBETA_LARGE, SHEET_ENGINE, SHEET_MODELS } from '../promptWorkload.js'

const ENGINES = 55

/** Every sixth engine is slow, about the share of the users' days. */
const SLOW_EVERY = 6
const SLOW_FACTOR = 3.5
const FAULT_FROM_MS = 4_000
const FAULT_TO_MS = 10_000

/** Credit that a change must gain to count, as the users state it. */
const LEAST_GAIN = 0.03

/** The fleet of hundreds at its usual load, with a burst. */
const LARGE: PromptRunOptions = {
  classes: GEBETA_LARGE,
  models: SHEET_MODELS,
  engine: SHEET_ENGINE,
  engines: ENGINES,
  nodes: 195,
  zones: 5,
  durationMs: 12_000,
  rateAt: (atMs) => (atMs > FAULT_FROM_MS && atMs < FAULT_TO_MS ? 1.7 : 1),
  policy: { evaluate: evaluateCompletion },
  seed: 1,
}

function run(
  shareLoads: LoadSharing,
  changes: Partial<PromptRunOptions> = {},
): PromptRunResult {
  return runPromptLoad({ ...LARGE, shareLoads, ...changes })
}

function isFault(atMs: number): boolean {
  return atMs > FAULT_FROM_MS && atMs < FAULT_TO_MS
}

/** Share of the dossiers that miss their target. */
function missShare({ outcomes: [dossier] }: PromptRunResult): number {
  return dossier ? 1 - dossier.inTime / dossier.requests : 1
}

describe('a burst at 195 instances that aggregate loads by zone', () => {
  const calm = run(aggregateByZone)

  it('earns more credit than with reports to each other', () => {
    const { creditRatio } = run(reportToEach)
    assert.ok(
      calm.creditRatio >= creditRatio + LEAST_GAIN,
      `${calm.creditRatio} ${creditRatio}`,
    )
  })

  it('earns as much as at 8 instances', () => {
    const { creditRatio } = run(reportToEach, { nodes: 8, zones: 1 })
    assert.ok(
      calm.creditRatio >= creditRatio - LEAST_GAIN,
      `${calm.creditRatio} ${creditRatio}`,
    )
  })

  it('delays at most 5 in 100 dossiers more while a sixth of the engines is slow', () => {
    const slow = run(aggregateByZone, {
      slowdownAt: (engine, atMs) =>
        engine % SLOW_EVERY === 0 && isFault(atMs) ? SLOW_FACTOR : 1,
    })
    assert.ok(
      missShare(slow) <= missShare(calm) + 0.05,
      `${missShare(slow)} ${missShare(calm)}`,
    )
  })

  it('earns as much while a tenth of the datagrams is lost', () => {
    const { creditRatio } = run(aggregateByZone, { lossShare: 0.1 })
    assert.ok(
      creditRatio >= calm.creditRatio - LEAST_GAIN,
      `${creditRatio} ${calm.creditRatio}`,
    )
  })

  it('earns as much when all first aggregators have ended', () => {
    const { creditRatio } = run(aggregateByZone, {
      isNodeDown: (index, atMs) => index < 10 && atMs > FAULT_FROM_MS,
    })
    assert.ok(
      creditRatio >= calm.creditRatio - LEAST_GAIN,
      `${creditRatio} ${calm.creditRatio}`,
    )
  })
})
