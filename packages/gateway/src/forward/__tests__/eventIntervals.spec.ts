import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Pauses } from '../eventIntervals.js'

function pausesOf(gapsMs: readonly number[]): Pauses {
  const pauses = Pauses.create()
  let atMs = 1_000
  pauses.note(atMs)
  for (const gapMs of gapsMs) {
    atMs += gapMs
    pauses.note(atMs)
  }
  return pauses
}

describe('Pauses', () => {
  it('tells a slow server from one that reads prompts between its events', () => {
    const busy = pausesOf([17, 112, 110, 18, 96, 17, 113, 104, 17, 18, 111, 112])
    const slow = pausesOf([76, 77, 76, 76, 78, 76])
    assert.ok((busy.meanMs ?? 0) > (slow.meanMs ?? 0) * 0.8)
    assert.equal(busy.quickMs, 17)
    assert.equal(slow.quickMs, 76)
  })

  it('overlooks events that arrive together', () => {
    assert.equal(pausesOf([76, 152, 0, 76, 76, 77, 75, 76, 76, 78]).quickMs, 75)
  })

  it('says nothing of streams that are too short', () => {
    assert.equal(pausesOf([17, 17]).quickMs, undefined)
    assert.equal(pausesOf([]).meanMs, undefined)
  })
})
