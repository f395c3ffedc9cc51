import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import {
  ReplicaStandin,
  StoreStandin,
  type StoreCopy,
  callerHeaders,
  fleetConfig,
} from '@wagtailway/standins'
import { sendToFleet } from '../fleetClient.js'
import { startGateway, waitUntil, type TestGateway } from '../gatewayHarness.js'

/** Time within which a gateway must apply a change, in milliseconds. */
const PROPAGATION_MS = 2_000

let store: StoreStandin
let gateway: TestGateway
let first: ReplicaStandin
let second: ReplicaStandin
let requestCount = 0

async function sendPlain(count: number): Promise<number[]> {
  const responses = await Promise.all(
    Array.from({ length: count }, () => {
      requestCount += 1
      const requestId = `r-${requestCount}`
      const headers = callerHeaders({ requestId })
      return sendToFleet({ port: gateway.port, path: `/plain/${requestId}`, headers })
    }),
  )
  return responses.map(({ status }) => status)
}

/** Sends requests for a while; returns how many of them reached the second server. */
async function countRunsOnSecond(forMs: number): Promise<number> {
  second.runs.length = 0
  const untilMs = performance.now() + forMs
  while (performance.now() < untilMs) {
    await sendPlain(5)
    await sleep(50)
  }
  return second.runs.length
}

/** Writes entries until the revisions of the copy are exceeded by far. */
function writeMany(): void {
  for (let i = 0; i < 300; i += 1) store.put('servers', 'stranger', { state: i })
}

async function putRolloutStatus(status: unknown): Promise<void> {
  const revision = store.read('rollouts', 'plain')?.revision
  const res = await fetch(
    `http://127.0.0.1:${store.port}/-/objects/rollouts/plain/status`,
    {
      method: 'PUT',
      body: JSON.stringify({ metadata: { name: 'plain', revision }, status }),
    },
  )
  assert.equal(res.status, 200)
}

function putOrder(): void {
  store.put('rollouts', 'plain', { service: 'plain', target: 'v2', durationS: 20 })
}

function storedState(): unknown {
  const status = store.read('rollouts', 'plain')?.status
  return (status as { state?: string } | null | undefined)?.state
}

/** Waits until the gateway has logged an event with such a field. */
function waitForLine(event: string, field: string, value: string): Promise<void> {
  return waitUntil(() =>
    gateway.lines.some((line) => line.event === event && line.fields[field] === value),
  )
}

/** Restores the store, and waits until the gateway must have noticed it. */
async function restore(copy: StoreCopy): Promise<void> {
  store.restore(copy)
  writeMany()
  await sleep(PROPAGATION_MS)
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

beforeEach(async () => {
  store = await StoreStandin.create()
  first = await ReplicaStandin.create({ id: 'p1' })
  second = await ReplicaStandin.create({ id: 'p2' })
  store.put('config', 'main', fleetConfig({ version: 1 }))
  for (const replica of [first, second]) {
    store.put('servers', replica.id, replica.entry())
  }
  gateway = await startGateway('n1', store.port)
  await waitUntil(() => gateway.isReady())
})

afterEach(async () => {
  await gateway.close()
  await Promise.all([first, second].map((replica) => replica.close()))
  await store.close()
})

describe('after the store was restored from an older copy, a gateway', () => {
  it('keeps the newer configuration until the operator has written it again', async () => {
    const copy = store.copy()
    store.put('config', 'main', fleetConfig({ version: 4, keys: ['key-2'] }))
    await waitUntil(async () => (await sendPlain(1))[0] === 401)
    await restore(copy)
    assert.deepEqual(await sendPlain(1), [401])
    store.put('config', 'main', fleetConfig({ version: 4, keys: ['key-2'] }))
    store.put('config', 'main', fleetConfig({ version: 7 }))
    await sleep(PROPAGATION_MS)
    assert.deepEqual(await sendPlain(1), [200])
  })

  it('sends nothing to a backend server that was draining before', async () => {
    const copy = store.copy()
    store.put('servers', second.id, second.entry({ state: 'draining' }))
    await waitForLine('server', 'state', 'leaving')
    await restore(copy)
    assert.equal(await countRunsOnSecond(1_500), 0)
  })

  it('sends nothing to a backend server that was removed before', async () => {
    const copy = store.copy()
    store.remove('servers', second.id)
    await waitForLine('server', 'state', 'removed')
    await restore(copy)
    assert.equal(await countRunsOnSecond(1_500), 0)
  })

  it('still sends to a backend server that the copy lacks while it registers again', async () => {
    const third = await ReplicaStandin.create({ id: 'p3' })
    const copy = store.copy()
    store.put('servers', third.id, third.entry())
    await waitForLine('server', 'server', third.id)
    store.restore(copy)
    await waitForLine('store_restored', 'kind', 'servers')
    await sendPlain(30)
    await third.close()
    assert.ok(third.runs.length > 0)
  })

  for (const { title, hasOrder } of [
    { title: 'the copy has the order', hasOrder: true },
    { title: 'the order is written again', hasOrder: false },
  ]) {
    it(`sends nothing to a version that was withdrawn before, and stores that again (${title})`, async () => {
      store.put('servers', second.id, second.entry({ version: 'v2' }))
      if (hasOrder) putOrder()
      const copy = store.copy()
      if (!hasOrder) putOrder()
      await putRolloutStatus({ state: 'rolled_back', target: 'v2', share: 0 })
      await waitForLine('rollout', 'state', 'rolled_back')
      await restore(copy)
      assert.equal(await countRunsOnSecond(500), 0)
      if (!hasOrder) putOrder()
      assert.equal(await countRunsOnSecond(1_000), 0)
      await waitUntil(() => storedState() === 'rolled_back')
    })
  }

  it('keeps a rollout completed, and stores that again', async () => {
    store.put('servers', second.id, second.entry({ version: 'v2' }))
    putOrder()
    const copy = store.copy()
    await putRolloutStatus({ state: 'completed', target: 'v2', share: 1 })
    await waitForLine('rollout', 'state', 'completed')
    await restore(copy)
    await waitUntil(() => storedState() === 'completed')
    first.runs.length = 0
    await sendPlain(20)
    assert.equal(first.runs.length, 0)
  })
})
