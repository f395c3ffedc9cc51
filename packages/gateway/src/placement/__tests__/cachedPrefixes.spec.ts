import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '@wagtailway/core'
import { CachedPrefixes } from '../cachedPrefixes.js'

describe('CachedPrefixes', () => {
  // Guards against: a server that starts again under its id counts as one that has prefilled.
  it('forgets what a server had that has left or started again', () => {
    const prefixes = CachedPrefixes.create(VirtualClock.create().now)
    prefixes.record('s1', 'large part-7')
    prefixes.record('s10', 'large part-7')
    prefixes.forget('s1')
    assert.equal(prefixes.has('s1', 'large part-7'), false)
    assert.equal(prefixes.has('s10', 'large part-7'), true)
  })
})
