import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '@wagtailway/core'
import { FeedState, type FeedEvent } from '../feedState.js'

function setUp() {
  const clock = VirtualClock.create(10_000)
  const returns: number[] = []
  const objects = new Map<string, string>()
  const take = (events: readonly FeedEvent<string>[]): void => {
    for (const { name, object } of events) {
      if (object === undefined) objects.delete(name)
      else objects.set(name, object)
    }
  }
  const feed = FeedState.create<string>({
    kind: 'servers',
    clock: clock.now,
    onList: (events) => {
      objects.clear()
      take(events)
    },
    onChanges: take,
    onReturn: (ms) => returns.push(ms),
  })
  return { clock, feed, objects, returns }
}

const A = { name: 'a', object: 'one' }

describe('FeedState', () => {
  it('takes a proof of another instance only as far as it goes', () => {
    const { feed, clock } = setUp()
    feed.takeList([A], 10, clock.now())
    clock.advance(1_000)
    const mark = { kind: 'servers', changedAt: 8, asOf: 14, ageMs: 300 }
    assert.equal(feed.hear(mark), 'current')
    assert.equal(feed.asOf, 14)
    assert.equal(feed.ageMs, 300)
    assert.equal(feed.hear({ ...mark, asOf: 12, ageMs: 0 }), 'ahead')
    assert.equal(feed.ageMs, 300)
    assert.equal(feed.hear({ ...mark, changedAt: 16, asOf: 16 }), 'behind')
  })

  it('is behind any instance that knows a list while it knows none', () => {
    const { feed } = setUp()
    const mark = { kind: 'servers', changedAt: 8, asOf: 14, ageMs: 300 }
    assert.equal(feed.hear(mark), 'behind')
  })

  it('hands over changes, or the whole list where its history ends', () => {
    const first = setUp()
    const second = setUp()
    first.feed.takeList([A], 10, first.clock.now())
    second.feed.takeNews(first.feed.since(0), 0, second.clock.now())
    assert.deepEqual([...second.objects], [['a', 'one']])
    const events = [
      { name: 'b', object: 'two' },
      { name: 'a', object: undefined },
    ]
    first.feed.takeChanges(events, 10, 15, first.clock.now())
    const news = first.feed.since(second.feed.asOf)
    assert.equal(news.isWhole, false)
    second.feed.takeNews(news, 10, second.clock.now())
    assert.deepEqual([...second.objects], [['b', 'two']])
    assert.equal(second.feed.asOf, 15)
  })

  it('never goes back to an older list or leaves out changes in between', () => {
    const { feed, objects, clock } = setUp()
    feed.takeList([A], 10, clock.now())
    feed.takeList([], 9, clock.now())
    feed.takeChanges([{ name: 'a', object: undefined }], 12, 14, clock.now())
    assert.deepEqual([...objects], [['a', 'one']])
    assert.equal(feed.asOf, 10)
  })

  it('tells of an outage before the news that end it', () => {
    const { feed, returns, clock } = setUp()
    feed.takeList([A], 10, clock.now())
    clock.advance(2_000)
    feed.takeChanges([], 10, 11, clock.now())
    assert.deepEqual(returns, [])
    clock.advance(6_000)
    feed.takeChanges([], 11, 12, clock.now())
    assert.deepEqual(returns, [6_000])
  })
})
