import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualClock } from '../../clock.js'
import { seededRandom } from '../../random.js'
import { leastLoaded, ownLoad } from '../../route/replicaPolicy.js'
import { ServerPool, type Waiter } from '../serverPool.js'

interface Entered {
  granted: string[]
  refused: string[]
}

const AT_E0 = { replicaId: 'e0', request: 1 }

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

function enter(pool: ServerPool, entered: Entered, waiter: Partial<Waiter> = {}): void {
  pool.submit({
    workspace: 'kebele',
    share: 1,
    priority: 5,
    usefulMs: 1_000,
    grant: (grant) => entered.granted.push(grant.replicaId),
    refuse: ({ reason }) => entered.refused.push(reason),
    ...waiter,
  })
}

describe('ServerPool', () => {
  it('starts requests while windows have room, then lets them wait', () => {
    const { pool } = setUp(1)
    const entered: Entered = { granted: [], refused: [] }
    for (let i = 0; i < 3; i++) enter(pool, entered)
    assert.deepEqual(entered, { granted: ['e0', 'e0'], refused: [] })
    pool.finish(AT_E0, 100, true)
    assert.equal(entered.granted.length, 3)
  })

  it('refuses at once what cannot be answered in time', () => {
    const { pool } = setUp(1)
    const entered: Entered = { granted: [], refused: [] }
    for (let i = 0; i < 2; i++) enter(pool, entered)
    pool.finish(AT_E0, 4_000, true)
    enter(pool, entered)
    enter(pool, entered)
    assert.deepEqual(entered.refused, ['overloaded'])
  })

  it('refuses a waiting request when its time is up though no replica answers', () => {
    const { pool, clock } = setUp(1)
    const entered: Entered = { granted: [], refused: [] }
    for (let i = 0; i < 3; i++) enter(pool, entered)
    clock.advance(999)
    pool.sweep()
    assert.deepEqual(entered.refused, [])
    clock.advance(2)
    pool.sweep()
    assert.deepEqual(entered.refused, ['overloaded'])
    assert.equal(pool.waiting, 0)
  })

  it('lets an urgent request start beyond the window', () => {
    const { pool } = setUp(1)
    const entered: Entered = { granted: [], refused: [] }
    for (let i = 0; i < 3; i++) enter(pool, entered)
    enter(pool, entered, { priority: 9 })
    assert.equal(entered.granted.length, 3)
  })

  it('sends nothing to a replica that failed again and again', () => {
    const { pool, clock } = setUp(3)
    for (let i = 0; i < 40; i++) {
      const entered: Entered = { granted: [], refused: [] }
      enter(pool, entered)
      const id = entered.granted[0] ?? ''
      pool.finish({ replicaId: id, request: i }, 10, id !== 'e1')
    }
    assert.equal(pool.healthy, 2)
    clock.advance(2_000)
    assert.equal(pool.healthy, 3)
  })

  it('refuses when no replica is left', () => {
    const { pool } = setUp(0)
    const entered: Entered = { granted: [], refused: [] }
    enter(pool, entered)
    assert.deepEqual(entered.refused, ['no_backend'])
  })

  it('tells refused callers to come back at different times', () => {
    const { pool } = setUp(1)
    const times = new Set<number | undefined>()
    enter(pool, { granted: [], refused: [] })
    enter(pool, { granted: [], refused: [] })
    pool.finish(AT_E0, 60_000, true)
    for (let i = 0; i < 20; i++) {
      enter(
        pool,
        { granted: [], refused: [] },
        { refuse: (r) => times.add(r.retryAfterMs) },
      )
    }
    assert.ok(times.size > 10, `${times.size} different times`)
  })
})
