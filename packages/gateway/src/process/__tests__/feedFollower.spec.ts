import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Err, Ok, VirtualClock, seededRandom, type Result } from '@wagtailway/core'
import { createTestFeed } from '../../feed/__tests__/testFeed.js'
import { FeedFollower } from '../feedFollower.js'
import type { StoreFailure, StoreUpdate } from '../storePort.js'

const LARGE_FLEET = 75

const SMALL_FLEET = 8

/** Duration of each call, in milliseconds. */
const CALL_MS = 5

interface Call {
  readonly type: 'list' | 'watch'
  readonly atMs: number
}

type Response = Result<StoreUpdate<number>, StoreFailure>

const UNAVAILABLE: Response = Err({ type: 'unavailable', detail: 'no data' })

interface FollowOptions {
  readonly forMs: number
  readonly instanceCount: number
  readonly pullingForMs?: (nowMs: number) => number | undefined
  readonly respond: (call: Call, index: number) => Response
  /** Called before each poll is planned. */
  readonly onPlan?: () => void
}

/** Runs a follower for some seconds in virtual time and returns its calls. */
async function follow(opts: FollowOptions): Promise<Call[]> {
  const clock = VirtualClock.create()
  const feed = createTestFeed<number>(clock.now)
  const calls: Call[] = []
  const respond = async (type: Call['type']): Promise<Response> => {
    const call = { type, atMs: clock.now() }
    calls.push(call)
    await pass(CALL_MS)
    return opts.respond(call, calls.length - 1)
  }
  let stop: () => void = () => undefined
  const pass = async (ms: number): Promise<void> => {
    await Promise.resolve()
    clock.advance(ms)
    if (clock.now() >= opts.forMs) stop()
  }
  await new Promise<void>((resolve) => {
    const follower = FeedFollower.create<number>({
      kind: 'config',
      feed,
      store: {
        list: () => respond('list'),
        watch: () => respond('watch'),
      },
      log: () => undefined,
      clock: clock.now,
      random: seededRandom(1),
      sleep: pass,
      fleet: () => {
        opts.onPlan?.()
        return {
          isDiscovering: false,
          instanceCount: opts.instanceCount,
          zoneRank: 5,
          maxPropagationMs: 3_000,
          pullingForMs: opts.pullingForMs?.(clock.now()),
        }
      },
      onStoreChanges: () => undefined,
      onPoll: () => undefined,
    })
    stop = () => {
      follower.close()
      resolve()
    }
  })
  return calls
}

const HISTORY_GONE: Response = Err({ type: 'history_gone', detail: 'after 10' })

function update(revision: number, transferMs = 1, era = 1): Response {
  return Ok({
    events: [{ name: 'main', object: revision }],
    era,
    revision,
    transferMs,
  })
}

// Guards against: an instance that stays ready and goes by an old configuration, as the error
// has an owner and so ends no process.
describe('FeedFollower', () => {
  it('goes on after an error in the plan of a poll', { timeout: 5_000 }, async () => {
    let plans = 0
    const calls = await follow({
      forMs: 10_000,
      instanceCount: SMALL_FLEET,
      onPlan: () => {
        plans += 1
        if (plans === 2) throw new Error('in the plan')
      },
      respond: (_call, index) => update(10 + index),
    })
    assert.ok(calls.length > 3, `${calls.length} calls`)
  })
})

describe('FeedFollower of an instance that does not watch', () => {
  it('polls again at once after a single failure, long before the propagation limit', async () => {
    const calls = await follow({
      forMs: 6_000,
      instanceCount: LARGE_FLEET,
      respond: (_call, index) => (index === 1 ? UNAVAILABLE : update(10 + index)),
    })
    const [first, failed, repeated] = calls
    assert.ok(first && failed && repeated)
    assert.ok(failed.atMs - first.atMs < 3_000)
    assert.ok(repeated.atMs - failed.atMs < 200, `${repeated.atMs - failed.atMs} ms`)
  })

  it('polls seldom once several polls have failed in a row', async () => {
    const calls = await follow({
      forMs: 30_000,
      instanceCount: LARGE_FLEET,
      respond: (_call, index) => (index === 0 ? update(10) : UNAVAILABLE),
    })
    assert.ok(calls.length <= 12, `${calls.length} calls`)
  })

  it('reads the list if a change that it has heard of does not arrive', async () => {
    const calls = await follow({
      forMs: 2_200,
      instanceCount: LARGE_FLEET,
      pullingForMs: (nowMs) => (nowMs < 100 ? undefined : nowMs - 100),
      respond: (_call, index) => update(10 + index),
    })
    assert.equal(calls[1]?.type, 'list')
    assert.ok(calls[1].atMs >= 1_500 && calls[1].atMs <= 2_000, `${calls[1].atMs} ms`)
  })

  it('reads the list at once each time the store has lost its history', async () => {
    const calls = await follow({
      forMs: 30_000,
      instanceCount: LARGE_FLEET,
      respond: ({ type }, index) => (type === 'list' ? update(10 + index) : HISTORY_GONE),
    })
    const lists = calls.flatMap(({ type, atMs }, i) =>
      type === 'list' && i > 0 ? [atMs - (calls[i - 1]?.atMs ?? 0)] : [],
    )
    assert.ok(lists.length >= 10)
    assert.ok(Math.max(...lists) <= 2 * CALL_MS, lists.join(' '))
  })
})

describe('FeedFollower of an instance that watches', () => {
  it('reads the list after a failed watch', async () => {
    const calls = await follow({
      forMs: 200,
      instanceCount: SMALL_FLEET,
      respond: (_call, index) => (index === 1 ? UNAVAILABLE : update(10 + index)),
    })
    assert.deepEqual(
      calls.slice(0, 4).map(({ type }) => type),
      ['list', 'watch', 'list', 'watch'],
    )
  })

  it('leaves its link free for a while after a slow update, and then reads the list', async () => {
    const calls = await follow({
      forMs: 400,
      instanceCount: SMALL_FLEET,
      respond: (_call, index) => update(10 + index, index === 1 ? 400 : 1),
    })
    assert.equal(calls[2]?.type, 'list')
    assert.equal(calls[2].atMs - (calls[1]?.atMs ?? 0), 200 + CALL_MS)
  })

  it('reads the list if a watch was answered in a newer era', async () => {
    const calls = await follow({
      forMs: 100,
      instanceCount: SMALL_FLEET,
      respond: (_call, index) => update(10 + index, 1, index === 0 ? 1 : 2),
    })
    assert.deepEqual(
      calls.slice(0, 4).map(({ type }) => type),
      ['list', 'watch', 'list', 'watch'],
    )
  })

  const unusable: readonly { store: string; respond: FollowOptions['respond'] }[] = [
    {
      store: 'with lower revisions and without its history',
      respond: ({ type }, index) =>
        index === 0 ? update(10) : type === 'list' ? update(5) : HISTORY_GONE,
    },
    {
      store: 'that keeps no history',
      respond: ({ type }, index) => (type === 'list' ? update(10 + index) : HISTORY_GONE),
    },
    {
      store: 'whose responses differ in the era',
      respond: ({ type }, index) => update(10 + index, 1, type === 'list' ? 1 : 2),
    },
  ]
  for (const { store, respond } of unusable) {
    it(`pauses between calls to a store ${store}`, async () => {
      const calls = await follow({ forMs: 10_000, instanceCount: SMALL_FLEET, respond })
      assert.ok(calls.length < 60, `${calls.length} calls`)
    })
  }
})

describe('an update that can not be applied', () => {
  it('does not end the loop, and is read again', async () => {
    const calls = await follow({
      forMs: 10_000,
      instanceCount: SMALL_FLEET,
      respond: ({ type }, index) => {
        if (index === 1) throw new Error('unforeseen')
        return type === 'list' ? update(10) : update(11 + index)
      },
    })
    assert.ok(calls.length > 3, `${calls.length} calls`)
    assert.equal(calls[2]?.type, 'list')
  })
})

describe('a watch that ends without changes', () => {
  /** Ages of the state once the first watch has ended, by the duration of the watch. */
  async function ageAfterWatch(durationShare: number): Promise<number> {
    const clock = VirtualClock.create()
    const feed = createTestFeed<number>(clock.now)
    let waitedMs = 0
    let sentAtMs = 0
    await new Promise<void>((resolve) => {
      const follower = FeedFollower.create<number>({
        kind: 'config',
        feed,
        store: {
          list: () => Promise.resolve(update(10)),
          watch: async (_kind, _after, waitMs) => {
            if (waitedMs > 0) {
              follower.close()
              resolve()
              return UNAVAILABLE
            }
            waitedMs = waitMs
            sentAtMs = clock.now()
            clock.advance(waitMs * durationShare)
            return Promise.resolve(
              Ok({ events: [], era: 1, revision: 11, transferMs: 1 }),
            )
          },
        },
        log: () => undefined,
        clock: clock.now,
        random: seededRandom(1),
        sleep: () => Promise.resolve(),
        fleet: () => ({
          isDiscovering: false,
          instanceCount: LARGE_FLEET,
          zoneRank: 0,
          maxPropagationMs: 3_000,
          pullingForMs: undefined,
        }),
        onStoreChanges: () => undefined,
        onPoll: () => undefined,
      })
    })
    return feed.ageMs - (clock.now() - sentAtMs - waitedMs * durationShare)
  }

  it('confirms the state as of the end of the whole wait', async () => {
    assert.equal(await ageAfterWatch(1), 0)
  })

  it('confirms the state as of its start if it ended early', async () => {
    assert.ok((await ageAfterWatch(0.5)) > 100)
  })
})
