import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { orderIssuers } from '../../limits/issuerOrder.js'
import type { RemoteAsk } from '../../limits/serverLimiter.js'
import { incarnationOf, type BackendServer } from '../../model/backendServer.js'
import { ColdServers } from '../coldServers.js'
import { WarmupLimiter, isWarmupAsk } from '../warmupLimiter.js'

const COLD: BackendServer = {
  id: 's1',
  startedAtMs: 5,
  service: 'plain',
  host: '10.0.0.1',
  port: 80,
  zone: 'z1',
  version: 'v1',
  slots: 6,
  isDraining: false,
  cold: { remainingMs: 30_000, revision: 1 },
}
const WARM: BackendServer = { ...COLD, id: 's2', cold: { remainingMs: 0, revision: 1 } }

const NAMES = ['n1', 'n2', 'n3', 'n4']
const [FIRST = '', SECOND = '', THIRD = ''] = orderIssuers(NAMES, incarnationOf(COLD))

let nowMs: number
let timers: { atMs: number; action: () => void }[]
let issuers: string[]
let asks: { issuer: string; ask: RemoteAsk }[]

function advance(ms: number): void {
  nowMs += ms
  const due = timers.filter(({ atMs }) => atMs <= nowMs)
  timers = timers.filter(({ atMs }) => atMs > nowMs)
  for (const { action } of due) action()
}

function create(name: string): WarmupLimiter {
  const cold = ColdServers.create({ clock: () => nowMs, onChange: () => undefined })
  for (const server of [COLD, WARM]) cold.apply(server)
  const limiter = WarmupLimiter.create({
    name,
    clock: () => nowMs,
    random: () => 0.5,
    after: (ms, action) => timers.push({ atMs: nowMs + ms, action }),
    issuers: () => issuers,
    fleetShare: () => 1,
    cold,
    boundOf: () => 15.05,
    onAsk: () => undefined,
  })
  limiter.sendAsk = (issuer, ask) => asks.push({ issuer, ask })
  return limiter
}

/** Permits that an instance issues to others in some windows. */
function issuedBy(limiter: WarmupLimiter, forMs: number): number {
  let total = 0
  for (let i = 0; i < forMs; i += 50) {
    nowMs += 50
    const ask = { requestsPerS: 15.05, ageMs: 0, count: 1, urgency: 0 }
    const incarnation = `cold ${incarnationOf(COLD)}`
    total += limiter.answer(`m${i % 200}`, { ...ask, id: i, incarnation }).count
  }
  return total
}

beforeEach(() => {
  nowMs = 50_000
  timers = []
  asks = []
  issuers = NAMES
})

describe('a request to a cold server', () => {
  it('uses a permit within a quarter of a second from the ask, whenever the answer came', async () => {
    const limiter = create(THIRD)
    const acquired = limiter.acquire(COLD)
    const [{ issuer, ask } = assert.fail()] = asks
    assert.equal(issuer, FIRST)
    assert.ok(isWarmupAsk(ask))
    advance(20)
    limiter.applyGrant(ask.id, { count: 3, retryAfterMs: 0 })
    const permit = await acquired
    assert.ok(permit && limiter.isValid(COLD, permit))
    assert.equal(limiter.availability(COLD), 'permitted')
    advance(231)
    assert.ok(!limiter.isValid(COLD, permit))
    assert.equal(limiter.tryTake(COLD), undefined)
  })

  // Guards against: requests that wait for permits although a warm server could take them.
  it('waits for a permit only if no warm server is left', () => {
    const limiter = create(THIRD)
    assert.deepEqual(limiter.withoutWait([COLD, WARM]), [WARM])
    assert.deepEqual(limiter.withoutWait([COLD]), [COLD])
  })

  it('goes on without a permit if no answer comes, and the deputy is asked after the second time', async () => {
    const limiter = create(THIRD)
    for (const issuer of [FIRST, FIRST, SECOND]) {
      const acquired = limiter.acquire(COLD)
      assert.equal(asks.at(-1)?.issuer, issuer)
      for (let i = 0; i < 3; i += 1) advance(30)
      assert.equal(await acquired, undefined)
    }
  })
})

describe('an instance that issues the permits of a cold server', () => {
  // Guards against: permits of a process that has started again, added to those before its end.
  it('issues none for two seconds after its start', () => {
    const limiter = create(FIRST)
    assert.equal(issuedBy(limiter, 1_900), 0)
    assert.ok(issuedBy(limiter, 5_000) > 20)
  })

  // Guards against: an instance that is cut off and takes itself for the first issuer at once.
  it('takes over from one that is lost after two seconds', () => {
    const limiter = create(SECOND)
    nowMs += 5_000
    const asDeputy = issuedBy(limiter, 1_250)
    assert.ok(asDeputy <= 1, `${asDeputy} permits of a deputy in a window`)
    issuers = NAMES.filter((name) => name !== FIRST)
    const before = issuedBy(limiter, 1_900)
    assert.ok(before <= 2, `${before} permits in the first two seconds`)
    const after = issuedBy(limiter, 5_000)
    assert.ok(after > 20, `${after} permits afterwards`)
  })
})
