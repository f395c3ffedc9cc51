import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '../../clock.js'
import { seededRandom } from '../../random.js'
import { leastLoaded, ownLoad } from '../../route/replicaPolicy.js'
import { ServerPool, type PoolRequest } from '../serverPool.js'

interface Outcomes {
  granted: string[]
  refused: string[]
}

const E0_SLOT = { replicaId: 'e0', requestNumber: 1 }

function setUp(replicas: number): { pool: ServerPool; clock: VirtualClock } {
  const clock = VirtualClock.create()
  const pool = ServerPool.create({
    clock: clock.now,
    random: seededRandom(1),
    zone: 'z1',
    selectReplica: leastLoaded(ownLoad),
    window: { initial: 2 },
  })
  pool.setReplicas(
    Array.from({ length: replicas }, (_, i) => ({ id: `e${i}`, zone: 'z1' })),
  )
  return { pool, clock }
}

function submit(
  pool: ServerPool,
  outcomes: Outcomes,
  overrides: Partial<PoolRequest> = {},
): void {
  pool.submit({
    workspace: 'kebele',
    share: 1,
    priority: 5,
    maxFirstTokenMs: 1_000,
    grant: (slot) => outcomes.granted.push(slot.replicaId),
    refuse: ({ reason }) => outcomes.refused.push(reason),
    ...overrides,
  })
}

describe('ServerPool', () => {
  it('starts requests while windows have room, then queues them', () => {
    const { pool } = setUp(1)
    const outcomes: Outcomes = { granted: [], refused: [] }
    for (let i = 0; i < 3; i++) submit(pool, outcomes)
    assert.deepEqual(outcomes, { granted: ['e0', 'e0'], refused: [] })
    pool.finish(E0_SLOT, 100, true)
    assert.equal(outcomes.granted.length, 3)
  })

  it('refuses immediately a request that cannot be served in time', () => {
    const { pool } = setUp(1)
    const outcomes: Outcomes = { granted: [], refused: [] }
    for (let i = 0; i < 2; i++) submit(pool, outcomes)
    pool.finish(E0_SLOT, 4_000, true)
    submit(pool, outcomes)
    submit(pool, outcomes)
    assert.deepEqual(outcomes.refused, ['overloaded'])
  })

  it('refuses a queued request when its time runs out, even if no replica responds', () => {
    const { pool, clock } = setUp(1)
    const outcomes: Outcomes = { granted: [], refused: [] }
    for (let i = 0; i < 3; i++) submit(pool, outcomes)
    clock.advance(999)
    pool.sweep()
    assert.deepEqual(outcomes.refused, [])
    clock.advance(2)
    pool.sweep()
    assert.deepEqual(outcomes.refused, ['overloaded'])
    assert.equal(pool.waiting, 0)
  })

  it('lets an urgent request start beyond the window', () => {
    const { pool } = setUp(1)
    const outcomes: Outcomes = { granted: [], refused: [] }
    for (let i = 0; i < 3; i++) submit(pool, outcomes)
    submit(pool, outcomes, { priority: 9 })
    assert.equal(outcomes.granted.length, 3)
  })

  it('stops sending to a replica that fails repeatedly', () => {
    const { pool, clock } = setUp(3)
    for (let i = 0; i < 40; i++) {
      const outcomes: Outcomes = { granted: [], refused: [] }
      submit(pool, outcomes)
      const id = outcomes.granted[0] ?? ''
      pool.finish({ replicaId: id, requestNumber: i }, 10, id !== 'e1')
    }
    assert.equal(pool.healthy, 2)
    clock.advance(2_000)
    assert.equal(pool.healthy, 3)
  })

  it('refuses requests when there is no replica', () => {
    const { pool } = setUp(0)
    const outcomes: Outcomes = { granted: [], refused: [] }
    submit(pool, outcomes)
    assert.deepEqual(outcomes.refused, ['no_backend'])
  })

  it('gives refused callers different retry times, so that they do not all return at once', () => {
    const { pool } = setUp(1)
    const retryTimes = new Set<number | undefined>()
    submit(pool, { granted: [], refused: [] })
    submit(pool, { granted: [], refused: [] })
    pool.finish(E0_SLOT, 60_000, true)
    for (let i = 0; i < 20; i++) {
      submit(
        pool,
        { granted: [], refused: [] },
        { refuse: (r) => retryTimes.add(r.retryAfterMs) },
      )
    }
    assert.ok(retryTimes.size > 10, `${retryTimes.size} different times`)
  })
})
