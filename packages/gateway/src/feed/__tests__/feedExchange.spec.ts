/** Pulls from an instance that answers something else than an update. */
import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { describe, it } from 'node:test'
import { seededRandom } from '@wagtailway/core'
import { FeedExchange } from '../feedExchange.js'
import { at, createTestFeed } from './testFeed.js'

const MARK = { kind: 'config', era: 1, changedAt: 8, asOf: 14, ageMs: 3 }
const EVENT = { name: 'main', object: { specification: 2 } }

interface Outcome {
  readonly events: readonly unknown[]
  readonly failures: readonly string[]
}

/** Pulls once from an instance that gives this answer. */
async function pullOnce(status: number, body: unknown): Promise<Outcome> {
  const server = createServer((_req, res) => {
    res.writeHead(status).end(JSON.stringify(body))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  const received: unknown[] = []
  const failures: string[] = []
  let exchange: FeedExchange | undefined
  try {
    await new Promise<void>((resolve, reject) => {
      const feed = createTestFeed<unknown>(() => performance.now(), {
        onChanges: (events) => {
          received.push(...events)
          resolve()
        },
      })
      feed.applyList([], at(5), performance.now(), 'store')
      FeedExchange.create({
        zone: 'z1',
        random: seededRandom(1),
        sleep: () => Promise.resolve(),
        onPulled: () => undefined,
        onFailed: ({ detail, after }) => {
          failures.push(detail)
          // What the pull left, not what it began with.
          assert.deepEqual(feed.position, after)
          resolve()
        },
        listen: (socket) =>
          new Promise((listening) => {
            if ('listen' in socket) socket.listen(0, '127.0.0.1', listening)
          }),
        port,
        clock: () => performance.now(),
        linkMbps: 100,
        feeds: [feed],
        onServeFailed: reject,
      }).then((created) => {
        exchange = created
        created.applyMarks([MARK], { host: '127.0.0.1', zone: 'z1' })
      }, reject)
    })
    return { events: received, failures }
  } finally {
    exchange?.close()
    server.close()
  }
}

describe('a pull', () => {
  it('applies the update that another instance has', async () => {
    const body = { mark: MARK, isWhole: false, events: [EVENT] }
    assert.deepEqual((await pullOnce(200, body)).events, [EVENT])
  })

  // Guards against: a feed that has moved on past changes that it didn't get, and lost them.
  it('changes nothing if the answer is no update', async () => {
    const answers: unknown[] = [
      null,
      7,
      [],
      {},
      { mark: MARK, isWhole: false, events: 7 },
      { mark: MARK, isWhole: false, events: [null] },
      { mark: MARK, isWhole: false, events: [EVENT, { name: 7, object: {} }] },
      { mark: MARK, isWhole: false, events: [{ name: 'main', object: null }] },
      { mark: MARK, isWhole: true, events: [{ name: 'main', object: 'x' }] },
      { mark: { ...MARK, asOf: '14' }, isWhole: false, events: [EVENT] },
      { mark: { ...MARK, asOf: 14.5 }, isWhole: false, events: [EVENT] },
      { mark: { ...MARK, ageMs: 'young' }, isWhole: false, events: [EVENT] },
      { mark: { ...MARK, era: 1.5 }, isWhole: true, events: [EVENT] },
      { mark: MARK, events: [EVENT] },
    ]
    for (const answer of answers) {
      const { events, failures } = await pullOnce(200, answer)
      assert.deepEqual(events, [], JSON.stringify(answer))
      assert.equal(failures.length, 1, JSON.stringify(answer))
    }
  })

  it('fails if the instances that it is referred to are no list of hosts', async () => {
    for (const body of [null, {}, { holders: 7 }, { holders: [7] }])
      assert.equal((await pullOnce(503, body)).failures.length, 1, JSON.stringify(body))
  })
})
