import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '@wagtailway/core'
import { PrefillSpeeds } from '../prefillSpeeds.js'

/** Time of a large model in milliseconds: tokens see all that are before them. */
function trueMs(tokens: number, before: number): number {
  return tokens * 3 * (1 / 64 + before * 0.647e-6)
}

describe('ModelSpeeds', () => {
  it('learns that long prompts take longer for each token', () => {
    const speeds = PrefillSpeeds.create(VirtualClock.create(0).now)
    for (let i = 0; i < 10; i += 1) {
      speeds.observe('large', 1_500, trueMs(1_500, 1_000), 1_000)
      speeds.observe('large', 30_000, trueMs(30_000, 30_000), 30_000)
    }
    assert.ok(Math.abs(speeds.msPerToken('large', 1_000) - 0.049) < 0.002)
    assert.ok(Math.abs(speeds.msPerToken('large', 30_000) - 0.105) < 0.003)
    assert.equal(speeds.msPerToken('large', 10_000), speeds.msPerToken('large', 1_000))
  })

  it('goes by what instances saw that met no queue', () => {
    const clock = VirtualClock.create(0)
    const speeds = PrefillSpeeds.create(clock.now)
    // The only prompt that this instance has sent stood behind others of other instances.
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

  it('knows nothing of a model that it has not met', () => {
    const speeds = PrefillSpeeds.create(VirtualClock.create(0).now)
    assert.equal(speeds.msPerToken('large', 1_000), 1 / 64)
  })
})
