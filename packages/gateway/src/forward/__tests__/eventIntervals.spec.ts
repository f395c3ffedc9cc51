import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EventIntervals } from '../eventIntervals.js'

function intervalsOf(gapsMs: readonly number[]): EventIntervals {
  const intervals = EventIntervals.create()
  let atMs = 1_000
  intervals.recordEvent(atMs)
  for (const gapMs of gapsMs) {
    atMs += gapMs
    intervals.recordEvent(atMs)
  }
  return intervals
}

describe('EventIntervals', () => {
  it('distinguishes a slow server from one that prefills prompts between events', () => {
    const busy = intervalsOf([17, 112, 110, 18, 96, 17, 113, 104, 17, 18, 111, 112])
    const slow = intervalsOf([76, 77, 76, 76, 78, 76])
    assert.ok((busy.meanMs ?? 0) > (slow.meanMs ?? 0) * 0.8)
    assert.equal(busy.p10Ms, 17)
    assert.equal(slow.p10Ms, 76)
  })

  it('ignores the near-zero intervals of events that arrive together', () => {
    assert.equal(intervalsOf([76, 152, 0, 76, 76, 77, 75, 76, 76, 78]).p10Ms, 75)
  })

  it('returns undefined for streams that are too short', () => {
    assert.equal(intervalsOf([17, 17]).p10Ms, undefined)
    assert.equal(intervalsOf([]).meanMs, undefined)
  })
})
