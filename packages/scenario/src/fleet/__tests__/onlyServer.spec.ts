import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import {
  ReplicaStandin,
  StoreStandin,
  callerHeaders,
  fleetConfig,
} from '@wagtailway/standins'
import { eventIds, sendToFleet, type FleetResponse } from '../fleetClient.js'
import { startGateway, waitUntil, type TestGateway } from '../gatewayHarness.js'

/** Longer than a server may be silent where another one can take over, in milliseconds. */
const EVENT_MS = 4_000
const RESPONSE_MS = 4_000

let store: StoreStandin
let gateway: TestGateway
const replicas: ReplicaStandin[] = []

async function addReplica(service: string, id: string, isSlow: boolean): Promise<void> {
  const replica = await ReplicaStandin.create({
    id,
    events: 2,
    ...(isSlow && { eventMs: EVENT_MS, responseMs: () => RESPONSE_MS }),
  })
  replicas.push(replica)
  store.put('servers', id, replica.entry({ service }))
}

beforeEach(async () => {
  store = await StoreStandin.create()
  store.put('config', 'main', fleetConfig({ version: 1, timeoutMs: 10_000 }))
  await addReplica('plain', 'p1', true)
  await addReplica('models', 'm1', true)
  gateway = await startGateway('n1', store.port)
  await waitUntil(() => gateway.isReady())
})

afterEach(async () => {
  await gateway.close()
  for (const replica of replicas.splice(0)) await replica.close()
  await store.close()
})

function sendPlain(id: string): Promise<FleetResponse> {
  const headers = callerHeaders({ requestId: id, waitMs: 8_000 })
  return sendToFleet({ port: gateway.port, path: `/plain/${id}`, headers })
}

function sendStream(id: string): Promise<FleetResponse> {
  const headers = callerHeaders({ requestId: id, isStream: true, waitMs: 9_900 })
  return sendToFleet({ port: gateway.port, path: `/notes/${id}`, headers })
}

function runsOf(id: string): number {
  return replicas.flatMap(({ runs }) => runs).filter(({ requestId }) => requestId === id)
    .length
}

// Guards against: a request is taken from a slow server although no other one can take it, so
// that it ends without the answer that was on its way.
describe('a request whose only server is slow', () => {
  it('gets its answer', async () => {
    const { status } = await sendPlain('slow')
    assert.equal(status, 200)
    assert.equal(runsOf('slow'), 1)
  })

  it('gets all events of a stream that pauses', async () => {
    const { isWhole, body } = await sendStream('paused')
    assert.deepEqual(eventIds(body), [1, 2])
    assert.ok(isWhole)
    assert.equal(runsOf('paused'), 1)
  })

  it('goes to another server that comes in the meantime', async () => {
    const plain = sendPlain('plain')
    const stream = sendStream('stream')
    await waitUntil(() => runsOf('plain') === 1 && runsOf('stream') === 1)
    await addReplica('plain', 'p2', false)
    await addReplica('models', 'm2', false)
    const startedAtMs = performance.now()
    assert.equal((await plain).status, 200)
    assert.ok(performance.now() - startedAtMs < RESPONSE_MS)
    const { isWhole, body } = await stream
    assert.deepEqual(eventIds(body), [1, 2])
    assert.ok(isWhole)
    assert.equal(runsOf('plain'), 2)
    assert.equal(runsOf('stream'), 2)
  })
})
