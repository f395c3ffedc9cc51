import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { StartTimer } from '@wagtailway/core'
import { TransferTimeout } from '../transferTimeout.js'

function setUp(waitMs = 0) {
  let nowMs = 0
  const timers = new Set<{ atMs: number; fn: () => void }>()
  const startTimer: StartTimer = (ms, fn) => {
    const timer = { atMs: nowMs + ms, fn }
    timers.add(timer)
    return () => timers.delete(timer)
  }
  const advance = (ms: number): void => {
    nowMs += ms
    for (const timer of [...timers]) {
      if (timer.atMs > nowMs || !timers.delete(timer)) continue
      timer.fn()
    }
  }
  const expired: string[] = []
  const timeout = TransferTimeout.create({
    startTimer,
    silenceMs: 600,
    waitMs,
    onTimeout: (detail) => expired.push(detail),
  })
  return { advance, expired, timeout, timers }
}

describe('TransferTimeout', () => {
  it('does not expire while data arrives, however large the response', () => {
    const { advance, expired, timeout, timers } = setUp()
    for (let i = 0; i < 5; i += 1) {
      advance(500)
      timeout.recordProgress()
    }
    assert.deepEqual(expired, [])
    timeout.cancel()
    assert.equal(timers.size, 0)
  })

  it('expires once if no data arrives, also after a part of the response', () => {
    const { advance, expired, timeout, timers } = setUp()
    advance(500)
    timeout.recordProgress()
    advance(600)
    advance(10_000)
    assert.deepEqual(expired, ['no data within 600 ms'])
    assert.equal(timers.size, 0)
  })

  it('expires during a response that never ends', () => {
    const { advance, expired, timeout } = setUp()
    for (let i = 0; i < 6; i += 1) {
      advance(500)
      timeout.recordProgress()
    }
    assert.deepEqual(expired, ['not complete within 3000 ms'])
  })

  it('allows a call that waits its additional time before the first data only', () => {
    const { advance, expired, timeout } = setUp(1_000)
    advance(1_500)
    assert.deepEqual(expired, [])
    timeout.recordProgress()
    advance(600)
    assert.deepEqual(expired, ['no data within 600 ms'])
  })
})
