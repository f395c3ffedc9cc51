import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock, seededRandom } from '@wagtailway/core'
import { FeedPuller, type FailedPull, type PullResponse } from '../feedPuller.js'
import { at, createTestFeed } from './testFeed.js'

const OWN = { host: 'own', zone: 'z1' }
const OTHER = { host: 'other', zone: 'z2' }

/** Changed at 8, confirmed up to 14. */
const MARK = { kind: 'config', era: 1, changedAt: 8, asOf: 14, ageMs: 0 }

function setUp(respond: (host: string) => PullResponse | 'fail') {
  const clock = VirtualClock.create(10_000)
  const feed = createTestFeed<unknown>(clock.now)
  feed.applyList([], at(5), clock.now(), 'store')
  const asked: { host: string; atMs: number }[] = []
  const failed: FailedPull[] = []
  const puller = FeedPuller.create({
    zone: 'z1',
    clock: clock.now,
    random: seededRandom(1),
    sleep: async (ms) => {
      await Promise.resolve()
      clock.advance(ms)
    },
    feeds: [feed],
    pull: (host) => {
      asked.push({ host, atMs: clock.now() - 10_000 })
      const response = respond(host)
      return response === 'fail'
        ? Promise.reject(new Error('no data'))
        : Promise.resolve(response)
    },
    onPulled: () => undefined,
    onFailed: (pull) => failed.push(pull),
  })
  const settle = (): Promise<void> => new Promise((resolve) => setImmediate(resolve))
  return { feed, puller, asked, failed, settle }
}

const UPDATE: PullResponse = {
  type: 'update',
  update: { mark: MARK, isWhole: false, events: [{ name: 'main', object: 2 }] },
}

describe('FeedPuller', () => {
  it('asks the next instance that is ahead at once if one fails', async () => {
    const { feed, puller, asked, failed, settle } = setUp((host) =>
      host === 'own' ? 'fail' : UPDATE,
    )
    puller.applyMarks([MARK], OWN)
    puller.applyMarks([MARK], { host: 'second', zone: 'z1' })
    await settle()
    assert.deepEqual(
      asked.map(({ host }) => host),
      ['own', 'second'],
    )
    assert.equal(feed.asOf, 14)
    assert.equal(failed[0]?.host, 'own')
  })

  it('asks an instance of another zone only if none of its own is ahead in time', async () => {
    const alone = setUp(() => UPDATE)
    alone.puller.applyMarks([MARK], OTHER)
    await alone.settle()
    assert.deepEqual(alone.asked, [{ host: 'other', atMs: 150 }])
    const both = setUp(() => UPDATE)
    both.puller.applyMarks([MARK], OTHER)
    both.puller.applyMarks([MARK], OWN)
    await both.settle()
    assert.ok(both.asked.every(({ host }) => host === 'own'))
  })

  it('asks those that a busy instance refers it to', async () => {
    const { feed, puller, asked, settle } = setUp((host) =>
      host === 'own' ? { type: 'busy', holders: ['holder'] } : UPDATE,
    )
    puller.applyMarks([MARK], OWN)
    await settle()
    assert.deepEqual(
      asked.map(({ host }) => host),
      ['own', 'holder'],
    )
    assert.equal(feed.asOf, 14)
  })

  it('asks a busy instance again after a pause, until it is current', async () => {
    let calls = 0
    const { feed, puller, asked, settle } = setUp(() => {
      calls += 1
      return calls < 4 ? { type: 'busy', holders: [] } : UPDATE
    })
    puller.applyMarks([MARK], OWN)
    await settle()
    assert.equal(asked.length, 4)
    const pausesMs = asked.slice(1).map(({ atMs }, i) => atMs - (asked[i]?.atMs ?? 0))
    assert.ok(pausesMs.every((ms) => ms >= 50 && ms <= 150))
    assert.equal(feed.asOf, 14)
  })

  it('stops if every instance has failed, and starts again with the next mark', async () => {
    const { puller, asked, settle } = setUp(() => 'fail')
    puller.applyMarks([MARK], OWN)
    await settle()
    assert.equal(asked.length, 1)
    puller.applyMarks([MARK], OWN)
    await settle()
    assert.equal(asked.length, 2)
  })

  it('asks an instance of a newer era although its revisions are lower', async () => {
    const mark = { ...MARK, era: 2, changedAt: 2, asOf: 3 }
    const update = { mark, isWhole: true, events: [{ name: 'main', object: 2 }] }
    const { feed, puller, asked, settle } = setUp(() => ({ type: 'update', update }))
    puller.applyMarks([mark], OWN)
    await settle()
    assert.equal(asked.length, 1)
    assert.deepEqual(feed.position, at(3, 2))
  })
})
