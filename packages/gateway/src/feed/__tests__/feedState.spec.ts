import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '@wagtailway/core'
import type { FeedEvent, Restored } from '../feedState.js'
import { at, createTestFeed } from './testFeed.js'

function setUp() {
  const clock = VirtualClock.create(10_000)
  const outagesMs: number[] = []
  const restored: Restored<string>[] = []
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
    onRestored: (change) => {
      restored.push(change)
      applyEvents(change.events)
    },
    onStoreRecovered: (ms) => outagesMs.push(ms),
  })
  return { clock, feed, objects, outagesMs, restored }
}

const A = { name: 'a', object: 'one' }

/** Time from the creation of a report until it is read, in milliseconds. */
const STEP_MS = 20

/** Time without a confirmation by the store, in milliseconds. */
const SILENCE_MS = 5_000

/** Error of an age that leaves time for a poll before a change must be applied. */
const MAX_AGE_ERROR_MS = 100

describe('FeedState', () => {
  it('adopts the mark of another instance only if it has all changes up to it', () => {
    const { feed, clock } = setUp()
    feed.applyList([A], at(10), clock.now(), 'store')
    clock.advance(1_000)
    const mark = { kind: 'servers', era: 1, changedAt: 8, asOf: 14, ageMs: 300 }
    assert.equal(feed.applyMark(mark), 'current')
    assert.equal(feed.asOf, 14)
    assert.equal(feed.ageMs, 300)
    assert.equal(feed.applyMark({ ...mark, asOf: 12, ageMs: 0 }), 'ahead')
    assert.equal(feed.ageMs, 300)
    assert.equal(feed.applyMark({ ...mark, changedAt: 16, asOf: 16 }), 'behind')
  })

  it('lets a confirmation age that instances pass on to each other with a delay', () => {
    const clock = VirtualClock.create(10_000)
    const [first, ...others] = Array.from({ length: 20 }, () =>
      createTestFeed<string>(clock.now, { kind: 'servers' }),
    )
    assert.ok(first)
    const feeds = [first, ...others]
    for (const feed of feeds) feed.applyList([A], at(10), clock.now(), 'store')
    const passOn = (durationMs: number): void => {
      for (let i = 0; i < durationMs / STEP_MS; i += 1) {
        const { mark } = feeds[i % feeds.length] ?? first
        // The receivers read the report a while after it was created.
        clock.advance(STEP_MS)
        for (const feed of feeds) feed.applyMark(mark)
      }
    }
    passOn(500)
    first.applyChanges([], at(10), 12, clock.now(), 'store')
    passOn(SILENCE_MS)
    const ages = feeds.map(({ ageMs }) => ageMs)
    assert.ok(Math.min(...ages) >= SILENCE_MS - MAX_AGE_ERROR_MS, ages.join(' '))
    assert.ok(Math.max(...ages) <= SILENCE_MS + MAX_AGE_ERROR_MS, ages.join(' '))
  })

  it('is behind every other instance before it has received a list', () => {
    const { feed } = setUp()
    const mark = { kind: 'servers', era: 1, changedAt: 8, asOf: 14, ageMs: 300 }
    assert.equal(feed.applyMark(mark), 'behind')
  })

  it('sends changes, or the complete list if its history does not go back far enough', () => {
    const first = setUp()
    const second = setUp()
    first.feed.applyList([A], at(10), first.clock.now(), 'store')
    second.feed.applyUpdate(
      first.feed.updateSince(at(0)),
      at(0),
      second.clock.now(),
      'store',
    )
    assert.deepEqual([...second.objects], [['a', 'one']])
    const events = [
      { name: 'b', object: 'two' },
      { name: 'a', object: undefined },
    ]
    first.feed.applyChanges(events, at(10), 15, first.clock.now(), 'store')
    const update = first.feed.updateSince(second.feed.position)
    assert.equal(update.isWhole, false)
    second.feed.applyUpdate(update, at(10), second.clock.now(), 'store')
    assert.deepEqual([...second.objects], [['b', 'two']])
    assert.equal(second.feed.asOf, 15)
  })

  it('sends only the newest of several changes to an object', () => {
    const { feed, clock } = setUp()
    feed.applyList([A], at(10), clock.now(), 'store')
    for (const revision of [11, 12, 13]) {
      const changed = { name: 'a', object: `at ${revision}` }
      feed.applyChanges([changed], at(revision - 1), revision, clock.now(), 'store')
    }
    assert.deepEqual(feed.updateSince(at(10)).events, [{ name: 'a', object: 'at 13' }])
    assert.deepEqual(feed.updateSince(at(13)).events, [])
  })

  it('sends the complete list for a revision before the oldest change that it retains', () => {
    const { feed, clock } = setUp()
    feed.applyList([A], at(10), clock.now(), 'store')
    for (let revision = 11; revision <= 400; revision += 1) {
      const changed = { name: `b${revision}`, object: 'two' }
      feed.applyChanges([changed], at(revision - 1), revision, clock.now(), 'store')
    }
    assert.equal(feed.updateSince(at(99)).isWhole, true)
    const changes = feed.updateSince(at(100))
    assert.equal(changes.isWhole, false)
    assert.deepEqual(changes.events[0], { name: 'b101', object: 'two' })
  })

  it('counts only what a later list changes, so that others are not behind it', () => {
    const { feed, objects, clock } = setUp()
    const b = { name: 'b', object: 'two' }
    feed.applyList([A, b], at(10), clock.now(), 'store')
    feed.applyList([A, b], at(20), clock.now(), 'store')
    assert.deepEqual(feed.mark, {
      kind: 'servers',
      era: 1,
      changedAt: 10,
      asOf: 20,
      ageMs: 0,
      hops: 0,
    })
    const changed = { name: 'a', object: 'three' }
    feed.applyList([changed], at(30), clock.now(), 'store')
    assert.equal(feed.mark.changedAt, 30)
    assert.deepEqual([...objects], [['a', 'three']])
    const update = feed.updateSince(at(20))
    assert.equal(update.isWhole, false)
    assert.deepEqual(update.events, [{ name: 'b', object: undefined }, changed])
  })

  it('ignores an older list, and changes after a gap', () => {
    const { feed, objects, clock } = setUp()
    feed.applyList([A], at(10), clock.now(), 'store')
    feed.applyList([], at(9), clock.now(), 'store')
    feed.applyChanges(
      [{ name: 'a', object: undefined }],
      at(12),
      14,
      clock.now(),
      'store',
    )
    assert.deepEqual([...objects], [['a', 'one']])
    assert.equal(feed.asOf, 10)
  })

  it('reports the duration of an outage at the first confirmation after it', () => {
    const { feed, outagesMs, clock } = setUp()
    feed.applyList([A], at(10), clock.now(), 'store')
    clock.advance(2_000)
    feed.applyChanges([], at(10), 11, clock.now(), 'store')
    assert.deepEqual(outagesMs, [])
    clock.advance(6_000)
    feed.applyChanges([], at(11), 12, clock.now(), 'store')
    assert.deepEqual(outagesMs, [6_000])
  })
})

describe('FeedState after a restore of the store', () => {
  it('applies a list of the new era although its revision is lower', () => {
    const { feed, objects, restored, clock } = setUp()
    feed.applyList([A], at(10), clock.now(), 'store')
    const b = { name: 'b', object: 'two' }
    assert.equal(feed.applyList([b], at(7, 2), clock.now(), 'store'), true)
    assert.deepEqual([...objects], [['b', 'two']])
    assert.deepEqual(feed.position, at(7, 2))
    const events = [{ name: 'a', object: undefined }, b]
    assert.deepEqual(restored, [{ before: at(10), after: at(7, 2), events }])
  })

  it('ignores what belongs to the era before, however high its revision is', () => {
    const { feed, objects, clock } = setUp()
    feed.applyList([A], at(10), clock.now(), 'store')
    feed.applyList([A], at(7, 2), clock.now(), 'store')
    const changed = { name: 'a', object: 'late' }
    assert.equal(feed.applyList([changed], at(99), clock.now(), 'store'), false)
    feed.applyChanges([changed], at(7), 99, clock.now(), 'store')
    const late = { mark: { ...feed.mark, era: 1, asOf: 99 }, events: [changed] }
    feed.applyUpdate({ ...late, isWhole: false }, at(7), clock.now(), 'store')
    feed.applyUpdate({ ...late, isWhole: true }, at(7), clock.now(), 'store')
    assert.deepEqual([...objects], [['a', 'one']])
    assert.deepEqual(feed.position, at(7, 2))
  })

  it('is behind an instance of a newer era, and ahead of one of an older era', () => {
    const { feed, clock } = setUp()
    feed.applyList([A], at(10, 2), clock.now(), 'store')
    const mark = { kind: 'servers', changedAt: 8, asOf: 9, ageMs: 0 }
    assert.equal(feed.applyMark({ ...mark, era: 3 }), 'behind')
    assert.equal(feed.applyMark({ ...mark, era: 1, asOf: 20 }), 'ahead')
    assert.equal(feed.applyMark({ ...mark, era: undefined, asOf: 20 }), 'current')
  })

  it('sends the complete list to an instance of another era', () => {
    const { feed, clock } = setUp()
    feed.applyList([A], at(10), clock.now(), 'store')
    feed.applyList([A], at(7, 2), clock.now(), 'store')
    feed.applyChanges([{ name: 'b', object: 'two' }], at(7, 2), 12, clock.now(), 'store')
    assert.equal(feed.updateSince(at(7, 2)).isWhole, false)
    assert.equal(feed.updateSince(at(10)).isWhole, true)
  })
})
