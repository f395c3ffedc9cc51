import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '@wagtailway/core'
import { FeedServer, type FeedResponse } from '../feedServer.js'
import { at, createTestFeed } from './testFeed.js'

function setUp(linkMbps: number) {
  const clock = VirtualClock.create(10_000)
  const feed = createTestFeed<unknown>(clock.now)
  const server = FeedServer.create({ clock: clock.now, linkMbps, feeds: [feed] })
  const request = (host: string, after = 0): FeedResponse =>
    server.respond({ kind: 'config', after, era: 1, host, acceptsGzip: false })
  return { clock, feed, request }
}

/** 100 kB take 80 ms of a link of 10 Mbit/s. */
const LARGE = { name: 'main', object: 'x'.repeat(100_000) }

describe('FeedServer', () => {
  it('refers instances to those that have the update once its link is occupied', () => {
    const { clock, feed, request } = setUp(10)
    feed.applyList([LARGE], at(10), clock.now(), 'store')
    assert.equal(request('a').type, 'update')
    assert.equal(request('b').type, 'update')
    assert.deepEqual(request('c'), { type: 'busy', holders: [] })
    clock.advance(100)
    for (const host of ['c', 'd']) assert.equal(request(host).type, 'update')
    assert.deepEqual(request('e'), { type: 'busy', holders: ['a'] })
    clock.advance(1_000)
    assert.equal(request('e').type, 'update')
  })

  it('forgets who has an update when there is a newer one', () => {
    const { clock, feed, request } = setUp(10)
    feed.applyList([LARGE], at(10), clock.now(), 'store')
    request('a')
    clock.advance(1_000)
    feed.applyChanges([LARGE], at(10), 11, clock.now(), 'store')
    for (const host of ['b', 'c']) assert.equal(request(host, 10).type, 'update')
    assert.deepEqual(request('d', 10), { type: 'busy', holders: [] })
  })

  it('serves all at once over a wide link, and small updates over any link', () => {
    const wide = setUp(1_000)
    wide.feed.applyList([LARGE], at(10), wide.clock.now(), 'store')
    const narrow = setUp(0.1)
    narrow.feed.applyList([{ name: 'a', object: 1 }], at(10), narrow.clock.now(), 'store')
    for (let i = 0; i < 100; i += 1) {
      assert.equal(wide.request(`n${i}`).type, 'update')
      assert.equal(narrow.request(`n${i}`).type, 'update')
    }
  })

  it('knows no feed of another kind, and none without a list', () => {
    const { clock, feed, request } = setUp(10)
    assert.equal(request('a').type, 'unknown')
    feed.applyList([], at(10), clock.now(), 'store')
    assert.equal(request('a').type, 'update')
  })
})
