import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '@wagtailway/core'
import type { FeedEvent } from '../feedState.js'
import { createTestFeed } from './testFeed.js'

function setUp() {
  const clock = VirtualClock.create(10_000)
  const outagesMs: number[] = []
  const objects = new Map<string, string>()
  const applyEvents = (events: readonly FeedEvent<string>[]): void => {
    for (const { name, object } of events) {
      if (object === undefined) objects.delete(name)
      else objects.set(name, object)
    }
  }
  const feed = createTestFeed<string>(clock.now, {
    kind: 'servers',
    onList: (events) => {
      objects.clear()
      applyEvents(events)
    },
    onChanges: applyEvents,
    onStoreRecovered: (ms) => outagesMs.push(ms),
  })
  return { clock, feed, objects, outagesMs }
}

const A = { name: 'a', object: 'one' }

describe('FeedState', () => {
  it('adopts the mark of another instance only if it has all changes up to it', () => {
    const { feed, clock } = setUp()
    feed.applyList([A], 10, clock.now(), 'store')
    clock.advance(1_000)
    const mark = { kind: 'servers', changedAt: 8, asOf: 14, ageMs: 300 }
    assert.equal(feed.applyMark(mark), 'current')
    assert.equal(feed.asOf, 14)
    assert.equal(feed.ageMs, 300)
    assert.equal(feed.applyMark({ ...mark, asOf: 12, ageMs: 0 }), 'ahead')
    assert.equal(feed.ageMs, 300)
    assert.equal(feed.applyMark({ ...mark, changedAt: 16, asOf: 16 }), 'behind')
  })

  it('is behind every other instance before it has received a list', () => {
    const { feed } = setUp()
    const mark = { kind: 'servers', changedAt: 8, asOf: 14, ageMs: 300 }
    assert.equal(feed.applyMark(mark), 'behind')
  })

  it('sends changes, or the complete list if its history does not go back far enough', () => {
    const first = setUp()
    const second = setUp()
    first.feed.applyList([A], 10, first.clock.now(), 'store')
    second.feed.applyUpdate(first.feed.updateSince(0), 0, second.clock.now(), 'store')
    assert.deepEqual([...second.objects], [['a', 'one']])
    const events = [
      { name: 'b', object: 'two' },
      { name: 'a', object: undefined },
    ]
    first.feed.applyChanges(events, 10, 15, first.clock.now(), 'store')
    const update = first.feed.updateSince(second.feed.asOf)
    assert.equal(update.isWhole, false)
    second.feed.applyUpdate(update, 10, second.clock.now(), 'store')
    assert.deepEqual([...second.objects], [['b', 'two']])
    assert.equal(second.feed.asOf, 15)
  })

  it('sends only the newest of several changes to an object', () => {
    const { feed, clock } = setUp()
    feed.applyList([A], 10, clock.now(), 'store')
    for (const revision of [11, 12, 13]) {
      const changed = { name: 'a', object: `at ${revision}` }
      feed.applyChanges([changed], revision - 1, revision, clock.now(), 'store')
    }
    assert.deepEqual(feed.updateSince(10).events, [{ name: 'a', object: 'at 13' }])
    assert.deepEqual(feed.updateSince(13).events, [])
  })

  it('sends the complete list for a revision before the oldest change that it retains', () => {
    const { feed, clock } = setUp()
    feed.applyList([A], 10, clock.now(), 'store')
    for (let revision = 11; revision <= 400; revision += 1) {
      const changed = { name: `b${revision}`, object: 'two' }
      feed.applyChanges([changed], revision - 1, revision, clock.now(), 'store')
    }
    assert.equal(feed.updateSince(99).isWhole, true)
    const changes = feed.updateSince(100)
    assert.equal(changes.isWhole, false)
    assert.deepEqual(changes.events[0], { name: 'b101', object: 'two' })
  })

  it('counts only what a later list changes, so that others are not behind it', () => {
    const { feed, objects, clock } = setUp()
    const b = { name: 'b', object: 'two' }
    feed.applyList([A, b], 10, clock.now(), 'store')
    feed.applyList([A, b], 20, clock.now(), 'store')
    assert.deepEqual(feed.mark, { kind: 'servers', changedAt: 10, asOf: 20, ageMs: 0 })
    const changed = { name: 'a', object: 'three' }
    feed.applyList([changed], 30, clock.now(), 'store')
    assert.equal(feed.mark.changedAt, 30)
    assert.deepEqual([...objects], [['a', 'three']])
    const update = feed.updateSince(20)
    assert.equal(update.isWhole, false)
    assert.deepEqual(update.events, [{ name: 'b', object: undefined }, changed])
  })

  it('ignores an older list, and changes after a gap', () => {
    const { feed, objects, clock } = setUp()
    feed.applyList([A], 10, clock.now(), 'store')
    feed.applyList([], 9, clock.now(), 'store')
    feed.applyChanges([{ name: 'a', object: undefined }], 12, 14, clock.now(), 'store')
    assert.deepEqual([...objects], [['a', 'one']])
    assert.equal(feed.asOf, 10)
  })

  it('reports the duration of an outage at the first confirmation after it', () => {
    const { feed, outagesMs, clock } = setUp()
    feed.applyList([A], 10, clock.now(), 'store')
    clock.advance(2_000)
    feed.applyChanges([], 10, 11, clock.now(), 'store')
    assert.deepEqual(outagesMs, [])
    clock.advance(6_000)
    feed.applyChanges([], 11, 12, clock.now(), 'store')
    assert.deepEqual(outagesMs, [6_000])
  })
})
