import assert from 'node:assert/strict'
import { test } from 'node:test'
import { VirtualClock } from '../../clock.js'
import type { Candidate, EffectiveClass } from '../../config/effective.js'
import { EvidenceTable } from '../../quality/evidenceTable.js'
import { QualityEstimates, type Measure } from '../../quality/qualityEstimates.js'
import { armPrior, type Arm } from '../cascadeArms.js'
import { acceptNonEmpty } from '../cascadeAcceptance.js'
import { chooseArm, type ArmChoice } from '../versionSelection.js'

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
  readonly addMany: (measure: Measure, key: string, score: number, n?: number) => void
  readonly choose: (withCascades?: boolean) => ArmChoice | undefined
}

function createFixture(): Fixture {
  const clock = VirtualClock.create()
  const evidence = EvidenceTable.create({ source: 'a', clock: clock.now })
  const estimates = QualityEstimates.create({ evidence })
  const of = (measure: Measure, arm: Arm, prior: number) =>
    estimates.estimate(measure, CLASS_KEY, arm.key, prior)
  return {
    estimates,
    clock,
    addMany: (measure, key, score, n = 200) => {
      for (let i = 0; i < n; i++) estimates.add(measure, CLASS_KEY, key, score)
    },
    choose: (withCascades = false) =>
      chooseArm({
        cls,
        candidates,
        estimate: (arm) => ({
          quality: of('quality', arm, armPrior(arm)),
          onTime: of('onTime', arm, 1),
          escalated: of('escalated', arm, 0.5),
        }),
        hasBackend: () => true,
        accepts: withCascades ? acceptNonEmpty : undefined,
        random: () => 0,
      }),
  }
}

void test('starts at the best version and tries the cheaper one on a part', () => {
  const choice = createFixture().choose()
  assert.equal(choice?.arm.key, 'm@exact')
  assert.equal(choice.trial?.key, 'm@fast')
  assert.equal(choice.trialShare, 0.25)
})

void test('takes the cheaper version once it is shown good enough', () => {
  const { addMany, choose } = createFixture()
  addMany('quality', 'm@fast', 0.78)
  assert.equal(choose()?.arm.key, 'm@fast')
})

void test('stops trying a version that is shown too bad', () => {
  const { addMany, choose } = createFixture()
  addMany('quality', 'm@fast', 0.6)
  addMany('quality', 'm@exact', 0.9)
  const choice = choose()
  assert.equal(choice?.arm.key, 'm@exact')
  assert.equal(choice.trial, undefined)
})

void test('leaves a version that turns bad although its past was good', () => {
  const { addMany, choose, clock } = createFixture()
  addMany('quality', 'm@fast', 0.8, 2_000)
  clock.advance(3_600_000)
  addMany('quality', 'm@fast', 0.5, 60)
  assert.equal(choose()?.arm.key, 'm@exact')
})

void test('leaves out a version that is shown to be late', () => {
  const { addMany, choose } = createFixture()
  addMany('quality', 'm@fast', 0.78)
  addMany('onTime', 'm@fast', 0.5)
  assert.equal(choose()?.arm.key, 'm@exact')
})

void test('takes a cascade where it is cheaper than the better version', () => {
  const { addMany, choose } = createFixture()
  addMany('quality', 'm@fast', 0.6)
  addMany('quality', 'm@fast>m@exact', 0.8)
  addMany('escalated', 'm@fast>m@exact', 0.3)
  assert.equal(choose(true)?.arm.key, 'm@fast>m@exact')
  addMany('escalated', 'm@fast>m@exact', 1, 20_000)
  addMany('quality', 'm@exact', 0.9)
  assert.equal(choose(true)?.arm.key, 'm@exact')
})
