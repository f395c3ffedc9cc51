import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { seededRandom } from '@wagtailway/core'
import { judgeVersion, type VersionVerdict } from '../judgeVersion.js'
import { durationClass, type Observation } from '../observation.js'

/** Responses of one server; `unmeasured` ones were too short to tell their speed. */
interface ResponseCounts {
  good: number
  slow: number
  bad: number
  unmeasured: number
}

const NO_RESPONSES: ResponseCounts = { good: 0, slow: 0, bad: 0, unmeasured: 0 }

const USUAL = durationClass(15)
const SLOW = durationClass(70)

/** Observations of one server, or of the old version. */
function observe(
  { good, slow, bad, unmeasured }: ResponseCounts,
  server?: string,
  group = 'route',
  ageMs = 0,
): Observation[] {
  const rows = [
    { outcome: 'ok' as const, count: good + slow + unmeasured },
    { outcome: 'failed' as const, count: bad },
    { outcome: USUAL, count: good },
    { outcome: SLOW, count: slow },
  ]
  return rows
    .filter(({ count }) => count > 0)
    .map((row) => ({ group, server, ageMs, ...row }))
}

function judge(
  oldServers: readonly ResponseCounts[],
  newServers: readonly ResponseCounts[],
): VersionVerdict {
  const observations = [
    ...oldServers.flatMap((counts) => observe(counts)),
    ...newServers.flatMap((counts, i) => observe(counts, `s${i}`)),
  ]
  return judgeVersion(observations, newServers.length).verdict
}

/** Counts of randomly drawn responses; each server has its own share of bad or slow ones. */
function responseCounts(
  shares: readonly number[],
  responsesPerServer: number,
  seed: number,
  kind: 'bad' | 'slow' = 'bad',
): ResponseCounts[] {
  const random = seededRandom(seed)
  return shares.map((share) => {
    const counts = { ...NO_RESPONSES }
    for (let i = 0; i < responsesPerServer; i += 1) {
      if (random() < share) counts[kind] += 1
      else counts.good += 1
    }
    return counts
  })
}

const SERVERS = 6

function isBadVersion(
  oldServers: readonly ResponseCounts[],
  newServers: readonly ResponseCounts[],
): boolean {
  return judge(oldServers, newServers) === 'bad'
}

describe('judgeVersion', () => {
  it('rejects a version that fails a third of its requests after sixty requests', () => {
    let rejected = 0
    for (let seed = 0; seed < 100; seed += 1) {
      const oldVersion = responseCounts(Array<number>(SERVERS).fill(0.01), 40, seed)
      const newVersion = responseCounts(
        Array<number>(SERVERS).fill(0.37),
        10,
        seed + 1_000,
      )
      if (isBadVersion(oldVersion, newVersion)) rejected += 1
    }
    assert.ok(rejected >= 99, `${rejected} of 100`)
  })

  it('accepts a good version', () => {
    let rejected = 0
    for (let seed = 0; seed < 200; seed += 1) {
      const oldVersion = responseCounts(Array<number>(SERVERS).fill(0.02), 40, seed)
      const newVersion = responseCounts(
        Array<number>(SERVERS).fill(0.02),
        20,
        seed + 1_000,
      )
      if (isBadVersion(oldVersion, newVersion)) rejected += 1
    }
    assert.ok(rejected <= 2, `${rejected} of 200`)
  })

  it('accepts a good version while a fault causes failures of both versions', () => {
    let rejected = 0
    for (let seed = 0; seed < 200; seed += 1) {
      const oldVersion = responseCounts(Array<number>(SERVERS).fill(0.2), 40, seed)
      const newVersion = responseCounts(
        Array<number>(SERVERS).fill(0.2),
        10,
        seed + 1_000,
      )
      if (isBadVersion(oldVersion, newVersion)) rejected += 1
    }
    assert.ok(rejected <= 2, `${rejected} of 200`)
  })

  it('does not reject a version for one crashed server', () => {
    const oldVersion = responseCounts(Array<number>(SERVERS).fill(0), 40, 1)
    const newVersion = responseCounts([1, 0, 0, 0, 0, 0], 10, 2)
    assert.equal(isBadVersion(oldVersion, newVersion), false)
  })

  it('rejects a slow version after twenty streams while load slows both versions', () => {
    let rejected = 0
    for (let seed = 0; seed < 100; seed += 1) {
      const oldVersion = responseCounts(
        Array<number>(SERVERS).fill(0.18),
        20,
        seed,
        'slow',
      )
      const newVersion = responseCounts([1, 1, 1, 1, 0.9], 4, seed + 1_000, 'slow')
      if (isBadVersion(oldVersion, newVersion)) rejected += 1
    }
    assert.ok(rejected >= 99, `${rejected} of 100`)
  })

  it('rejects a slow version after the three slow streams of a short canary', () => {
    const oldVersion = responseCounts(Array<number>(SERVERS).fill(0.03), 20, 1, 'slow')
    const newVersion = [0.59, 0.73, 1, 0, 0, 0].map((slow) => ({ ...NO_RESPONSES, slow }))
    assert.equal(judge(oldVersion, newVersion), 'bad')
  })

  it('is not led to believe that a version is fast by responses too short to tell', () => {
    const oldVersion = responseCounts(Array<number>(SERVERS).fill(0.03), 20, 1, 'slow')
    const newVersion = [0.59, 0.73, 1, 0, 0, 0].map((slow) => ({
      ...NO_RESPONSES,
      slow,
      unmeasured: 3,
    }))
    assert.equal(judge(oldVersion, newVersion), 'bad')
  })

  it('suspects a version whose only stream was slow, but not one of eight', () => {
    const oldVersion = responseCounts(Array<number>(SERVERS).fill(0.03), 20, 1, 'slow')
    assert.equal(judge(oldVersion, [{ ...NO_RESPONSES, slow: 1 }]), 'suspect')
    assert.equal(judge(oldVersion, [{ ...NO_RESPONSES, good: 7, slow: 1 }]), 'undecided')
  })

  it('takes a version with no or few responses for neither good nor bad', () => {
    const oldVersion = responseCounts(Array<number>(SERVERS).fill(0.03), 20, 1)
    assert.equal(judge(oldVersion, []), 'undecided')
    assert.equal(judge([], []), 'undecided')
    assert.equal(judge(oldVersion, [{ ...NO_RESPONSES, good: 8 }]), 'undecided')
  })

  it('does not take a version for good if its speed could not be told', () => {
    const oldVersion = responseCounts(Array<number>(SERVERS).fill(0.03), 20, 1)
    const newVersion = Array.from({ length: 3 }, () => ({
      ...NO_RESPONSES,
      unmeasured: 20,
    }))
    assert.equal(judge(oldVersion, newVersion), 'undecided')
    const unmeasured = [{ ...NO_RESPONSES, unmeasured: 60 }]
    assert.equal(judge(unmeasured, newVersion), 'good')
  })

  it('takes a version with sixty good responses for good', () => {
    let good = 0
    for (let seed = 0; seed < 100; seed += 1) {
      const oldVersion = responseCounts(Array<number>(SERVERS).fill(0.02), 40, seed)
      const newVersion = responseCounts([0.02, 0.02, 0.02], 20, seed + 1_000)
      if (judge(oldVersion, newVersion) === 'good') good += 1
    }
    assert.ok(good >= 95, `${good} of 100`)
  })

  it('never takes a version that fails a third of its requests for good', () => {
    for (let seed = 0; seed < 1_000; seed += 1) {
      const oldVersion = responseCounts(Array<number>(SERVERS).fill(0.02), 40, seed)
      const newVersion = responseCounts([0.35, 0.35, 0.35], 7, seed + 1_000)
      assert.notEqual(judge(oldVersion, newVersion), 'good', `seed ${seed}`)
    }
  })

  it('compares each route with itself', () => {
    const old = [
      ...observe({ ...NO_RESPONSES, good: 60 }, undefined, 'lookup'),
      ...observe({ ...NO_RESPONSES, bad: 30 }, undefined, 'always fails'),
    ]
    const alwaysFails = observe({ ...NO_RESPONSES, bad: 8 }, 's0', 'always fails')
    const half = { ...NO_RESPONSES, good: 4, bad: 4 }
    const whole = { ...NO_RESPONSES, good: 25 }
    const judgeLookup = (counts: ResponseCounts): VersionVerdict =>
      judgeVersion([...old, ...alwaysFails, ...observe(counts, 's0', 'lookup')], 1)
        .verdict
    assert.equal(judgeLookup(half), 'bad')
    assert.equal(judgeLookup(whole), 'good')
  })

  it('rejects a version that is bad on one route of three', () => {
    const routes = ['a', 'b', 'c']
    const usual = { ...NO_RESPONSES, good: 30 }
    const old = routes.flatMap((route) => observe(usual, undefined, route))
    const sound = ['a', 'b'].flatMap((route) => observe(usual, 's0', route))
    const failing = observe({ ...NO_RESPONSES, good: 4, bad: 5 }, 's0', 'c')
    assert.equal(judgeVersion([...old, ...sound, ...failing], 1).verdict, 'bad')
    assert.equal(judgeVersion([...old, ...sound], 1).verdict, 'undecided')
  })

  it('rejects a version that has turned bad after many good responses', () => {
    const old = observe({ ...NO_RESPONSES, good: 100 })
    const before = observe({ ...NO_RESPONSES, good: 60 }, 's0', 'route', 6_000)
    const since = observe({ ...NO_RESPONSES, good: 4, bad: 5 }, 's0')
    assert.equal(judgeVersion([...old, ...before, ...since], 1).verdict, 'bad')
  })

  it('accepts a good version while both versions fail for a moment', () => {
    const old = [
      ...observe({ ...NO_RESPONSES, good: 100 }, undefined, 'route', 6_000),
      ...observe({ ...NO_RESPONSES, good: 4, bad: 12 }),
    ]
    const before = observe({ ...NO_RESPONSES, good: 30 }, 's0', 'route', 6_000)
    const now = observe({ ...NO_RESPONSES, good: 1, bad: 4 }, 's0')
    assert.notEqual(judgeVersion([...old, ...before, ...now], 1).verdict, 'bad')
  })

  it('accepts a good version one of whose three servers has crashed', () => {
    const oldVersion = responseCounts(Array<number>(SERVERS).fill(0), 40, 1)
    const newVersion = responseCounts([1, 0, 0], 20, 2)
    assert.equal(judge(oldVersion, newVersion), 'good')
  })

  it('accepts a good version that carries the full load', () => {
    let rejected = 0
    for (let seed = 0; seed < 200; seed += 1) {
      const newVersion = responseCounts(
        Array<number>(SERVERS).fill(0.1),
        20,
        seed,
        'slow',
      )
      if (isBadVersion([], newVersion)) rejected += 1
    }
    assert.ok(rejected <= 2, `${rejected} of 200`)
  })
})
