import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '@wagtailway/core'
import { PrefillSpeeds } from '../prefillSpeeds.js'

/** Prefill time of a large model in milliseconds: each token attends to all before it. */
function prefillMs(tokens: number, precedingTokens: number): number {
  return tokens * 3 * (1 / 64 + precedingTokens * 0.647e-6)
}

describe('PrefillSpeeds', () => {
  it('learns that each token of a long prompt takes longer', () => {
    const speeds = PrefillSpeeds.create(VirtualClock.create(0).now)
    for (let i = 0; i < 10; i += 1) {
      speeds.observe('large', 1_500, prefillMs(1_500, 1_000), 1_000)
      speeds.observe('large', 30_000, prefillMs(30_000, 30_000), 30_000)
    }
    assert.ok(Math.abs(speeds.msPerToken('large', 1_000) - 0.049) < 0.002)
    assert.ok(Math.abs(speeds.msPerToken('large', 30_000) - 0.105) < 0.003)
    assert.equal(speeds.msPerToken('large', 10_000), speeds.msPerToken('large', 1_000))
  })

  it('uses the speeds of instances whose requests did not wait in a queue', () => {
    const clock = VirtualClock.create(0)
    const speeds = PrefillSpeeds.create(clock.now)
    // The only request of this instance was queued behind requests of other instances.
    speeds.observe('large', 2_000, 900, 1_000)
    for (let i = 0; i < 8; i += 1) {
      speeds.applyReport(`n${i}`, new Map([['large', [i < 3 ? 0.05 : 0.2]]]))
    }
    clock.advance(1_000)
    assert.equal(speeds.msPerToken('large', 1_000), 0.05)
    speeds.retainPeers(new Set())
    clock.advance(1_000)
    assert.equal(speeds.msPerToken('large', 1_000), 0.45)
  })

  it('returns the default speed for an unknown model', () => {
    const speeds = PrefillSpeeds.create(VirtualClock.create(0).now)
    assert.equal(speeds.msPerToken('large', 1_000), 1 / 64)
  })

  // Guards against: a report that fits no datagram, so that each with speeds fails to be sent.
  it('keeps speeds of as many models as a report has room for', () => {
    const speeds = PrefillSpeeds.create(VirtualClock.create(0).now)
    for (let i = 0; i < 5_000; i += 1) {
      speeds.observe('large', 2_000, 90, 1_000)
      speeds.observe(`${i}`.repeat(40), 2_000, 90, 1_000)
      speeds.observe('m'.repeat(10_000 + i), 2_000, 90, 1_000)
    }
    const told = JSON.stringify([...speeds.localSpeeds])
    assert.ok(told.length < 30_000, `${told.length} characters`)
    assert.ok(speeds.localSpeeds.has('large'))
  })
})
