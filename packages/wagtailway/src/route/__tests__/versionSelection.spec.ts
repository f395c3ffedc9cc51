import assert from 'node:assert/strict'
import { test } from 'node:test'
import { VirtualClock } from '../../clock.js'
import type { Candidate, EffectiveClass } from '../../config/effective.js'
import { EvidenceTable } from '../../quality/evidenceTable.js'
import { QualityEstimates, type Measure } from '../../quality/qualityEstimates.js'
import { armPrior, type Arm } from '../cascadeArms.js'
import { acceptNonEmpty } from '../cascadeAcceptance.js'
import { selectArm, type ArmSelection } from '../versionSelection.js'

const CLASS_KEY = 'desk/handover'

const cls: EffectiveClass = {
  owner: 'desk',
  workspace: 'desk',
  name: 'handover',
  allow: [],
  services: [],
  quality: { target: 0.7 },
  latency: { firstTokenMs: 1_000, betweenTokensMs: 43 },
  priority: 5,
  sessions: false,
}

function candidate(version: string, price: number, expectedQuality: number): Candidate {
  const prices = { promptPrice: price, completionPrice: price }
  return { model: 'm', version, key: `m@${version}`, expectedQuality, ...prices }
}

const candidates = [candidate('fast', 1, 0.75), candidate('exact', 4, 0.92)]

interface Fixture {
  readonly estimates: QualityEstimates
  readonly clock: VirtualClock
  readonly addScores: (
    measure: Measure,
    key: string,
    score: number,
    count?: number,
  ) => void
  readonly select: (withCascades?: boolean) => ArmSelection | undefined
}

function createFixture(): Fixture {
  const clock = VirtualClock.create()
  const evidence = EvidenceTable.create({ source: 'a', clock: clock.now })
  const estimates = QualityEstimates.create({ evidence })
  const estimateOf = (measure: Measure, arm: Arm, prior: number) =>
    estimates.estimate(measure, CLASS_KEY, arm.key, prior)
  return {
    estimates,
    clock,
    addScores: (measure, key, score, count = 200) => {
      for (let i = 0; i < count; i++) estimates.add(measure, CLASS_KEY, key, score)
    },
    select: (withCascades = false) =>
      selectArm({
        cls,
        candidates,
        estimate: (arm) => ({
          quality: estimateOf('quality', arm, armPrior(arm)),
          onTime: estimateOf('onTime', arm, 1),
          escalated: estimateOf('escalated', arm, 0.5),
        }),
        hasBackend: () => true,
        accepts: withCascades ? acceptNonEmpty : undefined,
        random: () => 0,
      }),
  }
}

void test('starts with the best version and tries the cheaper one on some requests', () => {
  const selection = createFixture().select()
  assert.equal(selection?.arm.key, 'm@exact')
  assert.equal(selection.trial?.key, 'm@fast')
  assert.equal(selection.trialShare, 0.25)
})

void test('selects the cheaper version once it meets the target with confidence', () => {
  const { addScores, select } = createFixture()
  addScores('quality', 'm@fast', 0.78)
  assert.equal(select()?.arm.key, 'm@fast')
})

void test('stops trying a version that misses the target with confidence', () => {
  const { addScores, select } = createFixture()
  addScores('quality', 'm@fast', 0.6)
  addScores('quality', 'm@exact', 0.9)
  const selection = select()
  assert.equal(selection?.arm.key, 'm@exact')
  assert.equal(selection.trial, undefined)
})

void test('abandons a version whose recent quality is bad despite good older evidence', () => {
  const { addScores, select, clock } = createFixture()
  addScores('quality', 'm@fast', 0.8, 2_000)
  clock.advance(3_600_000)
  addScores('quality', 'm@fast', 0.5, 60)
  assert.equal(select()?.arm.key, 'm@exact')
})

void test('excludes a version that misses the latency target', () => {
  const { addScores, select } = createFixture()
  addScores('quality', 'm@fast', 0.78)
  addScores('onTime', 'm@fast', 0.5)
  assert.equal(select()?.arm.key, 'm@exact')
})

void test('selects a cascade while it is cheaper than the better version', () => {
  const { addScores, select } = createFixture()
  addScores('quality', 'm@fast', 0.6)
  addScores('quality', 'm@fast>m@exact', 0.8)
  addScores('escalated', 'm@fast>m@exact', 0.3)
  assert.equal(select(true)?.arm.key, 'm@fast>m@exact')
  addScores('escalated', 'm@fast>m@exact', 1, 20_000)
  addScores('quality', 'm@exact', 0.9)
  assert.equal(select(true)?.arm.key, 'm@exact')
})
