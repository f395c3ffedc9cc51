import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { seededRandom } from '@wagtailway/core'
import { isBadVersion } from '../judgeVersion.js'
import type { ResponseCounts } from '../serverEvidence.js'

/** Answers of some servers, each one bad or slow with its server's chance. */
function answers(
  shares: readonly number[],
  each: number,
  seed: number,
  kind: 'bad' | 'slow' = 'bad',
): ResponseCounts[] {
  const random = seededRandom(seed)
  return shares.map((share) => {
    const counts = { good: 0, slow: 0, bad: 0 }
    for (let i = 0; i < each; i += 1) {
      if (random() < share) counts[kind] += 1
      else counts.good += 1
    }
    return counts
  })
}

const SERVERS = 6

describe('isBadVersion', () => {
  it('condemns a version that fails a third of its requests, after sixty of them', () => {
    let condemned = 0
    for (let seed = 0; seed < 100; seed += 1) {
      const before = answers(Array<number>(SERVERS).fill(0.01), 40, seed)
      const target = answers(Array<number>(SERVERS).fill(0.37), 10, seed + 1_000)
      if (isBadVersion(before, target)) condemned += 1
    }
    assert.ok(condemned >= 99, `${condemned} of 100`)
  })

  it('leaves a good version alone', () => {
    let condemned = 0
    for (let seed = 0; seed < 200; seed += 1) {
      const before = answers(Array<number>(SERVERS).fill(0.02), 40, seed)
      const target = answers(Array<number>(SERVERS).fill(0.02), 20, seed + 1_000)
      if (isBadVersion(before, target)) condemned += 1
    }
    assert.ok(condemned <= 2, `${condemned} of 200`)
  })

  it('leaves a good version alone while a fault spoils answers of both', () => {
    let condemned = 0
    for (let seed = 0; seed < 200; seed += 1) {
      const before = answers(Array<number>(SERVERS).fill(0.2), 40, seed)
      const target = answers(Array<number>(SERVERS).fill(0.2), 10, seed + 1_000)
      if (isBadVersion(before, target)) condemned += 1
    }
    assert.ok(condemned <= 2, `${condemned} of 200`)
  })

  it('does not condemn a version for one crashed server', () => {
    const before = answers(Array<number>(SERVERS).fill(0), 40, 1)
    const target = answers([1, 0, 0, 0, 0, 0], 10, 2)
    assert.equal(isBadVersion(before, target), false)
  })

  it('condemns a version that is slow, by twenty streams, while load slows both', () => {
    let condemned = 0
    for (let seed = 0; seed < 100; seed += 1) {
      const before = answers(Array<number>(SERVERS).fill(0.18), 20, seed, 'slow')
      const target = answers([1, 1, 1, 1, 0.9], 4, seed + 1_000, 'slow')
      if (isBadVersion(before, target)) condemned += 1
    }
    assert.ok(condemned >= 99, `${condemned} of 100`)
  })

  it('leaves a good version alone that carries all the load', () => {
    let condemned = 0
    for (let seed = 0; seed < 200; seed += 1) {
      const target = answers(Array<number>(SERVERS).fill(0.1), 20, seed, 'slow')
      if (isBadVersion([], target)) condemned += 1
    }
    assert.ok(condemned <= 2, `${condemned} of 200`)
  })
})
