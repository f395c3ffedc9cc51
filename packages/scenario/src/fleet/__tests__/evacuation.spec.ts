import assert from 'node:assert/strict'
import { once } from 'node:events'
import { request, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import {
  ReplicaStandin,
  StoreStandin,
  callerHeaders,
  fleetConfig,
} from '@wagtailway/standins'
import { PASS, TcpRelay } from '../../relay/index.js'
import { eventIds, sendToFleet, type FleetResponse } from '../fleetClient.js'
import { startGateway, waitUntil, type TestGateway } from '../gatewayHarness.js'

/** The rule's bound, and the time in contact from which it holds, in milliseconds. */
const EVACUATION_MS = 5_000
const CONTACT_MS = 4_000

/** The shorter of both bounds, as the settings give it to the gateway. */
const BOUNDS = { evacuationMs: CONTACT_MS }

/** Pause between two requests, in milliseconds. */
const REQUEST_PAUSE_MS = 15

const KINDS = ['plain', 'once', 'notes'] as const
type Kind = (typeof KINDS)[number]

let store: StoreStandin
/** Path to the store that can be cut. */
let storePath: TcpRelay
let replicas: ReplicaStandin[]
let gateways: TestGateway[]
let requestCount = 0

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, ms))

/** Asks an instance to relay a connection; resolves to the status and the reason. */
async function askForConnection(
  { peerPort: port }: TestGateway,
  incarnation: string,
): Promise<string> {
  const headers = { 'x-relay-server': incarnation }
  const host = '127.0.0.1'
  const req = request({ host, port, method: 'CONNECT', path: 'server:80', headers })
  req.end()
  const [res, socket] = (await once(req, 'connect')) as [IncomingMessage, Socket]
  socket.destroy()
  return `${res.statusCode ?? 0} ${String(res.headers['x-relay-failure'] ?? '')}`
}

function send(kind: Kind, gateway = gateways[0]): Promise<FleetResponse> {
  requestCount += 1
  const requestId = `r-${requestCount}`
  return sendToFleet({
    port: gateway?.port ?? 0,
    path: `/${kind}/${requestId}`,
    headers: callerHeaders({ requestId, isStream: kind === 'notes' }),
    ...(kind === 'once' && { method: 'POST', body: 'body' }),
  })
}

/** Sends requests of all kinds for a while; returns the statuses. */
async function sendFor(ms: number, gateway = gateways[0]): Promise<number[]> {
  const untilMs = performance.now() + ms
  const sent: Promise<FleetResponse>[] = []
  while (performance.now() < untilMs) {
    sent.push(send(KINDS[sent.length % KINDS.length] ?? 'plain', gateway))
    await sleep(REQUEST_PAUSE_MS)
  }
  return (await Promise.all(sent)).map(({ status }) => status)
}

/** Requests that reached the servers of a zone since a time. */
function arrivalsIn(zone: string, sinceMs: number): number {
  return replicas
    .filter(({ id }) => id.endsWith(zone))
    .flatMap(({ arrivals }) => arrivals)
    .filter((atMs) => atMs >= sinceMs).length
}

async function addServer(
  id: string,
  zone: string,
  changes: Readonly<Record<string, unknown>> = {},
): Promise<ReplicaStandin> {
  const replica = await ReplicaStandin.create({ id: `${id}-${zone}`, events: 5 })
  replicas.push(replica)
  store.put('servers', replica.id, replica.entry({ zone, ...changes }))
  return replica
}

async function addGateway(
  bounds: Parameters<typeof startGateway>[2] = BOUNDS,
  port = store.port,
): Promise<TestGateway> {
  // From its own zone it would send nothing to other zones while there is little load.
  const gateway = await startGateway(`n${gateways.length}`, port, bounds, 'z9')
  gateways.push(gateway)
  return gateway
}

async function startReady(port?: number): Promise<TestGateway> {
  const gateway = await addGateway(BOUNDS, port)
  await waitUntil(() => gateway.isReady())
  return gateway
}

/** Evacuates a zone; resolves once the first instance must have applied it and has. */
async function evacuate(zone: string): Promise<void> {
  store.put('evacuations', zone, {})
  await waitForNews(zone, 'evacuated')
}

async function revoke(zone: string): Promise<void> {
  store.remove('evacuations', zone)
  await waitForNews(zone, 'revoked')
}

/** Waits until the first instance has applied a change; fails if that takes too long. */
async function waitForNews(zone: string, state: string): Promise<void> {
  const sinceMs = performance.now()
  await waitUntil(() => {
    const changes = gateways[0]?.lines.filter(
      ({ event, fields }) => event === 'evacuation' && fields['zone'] === zone,
    )
    return changes?.at(-1)?.fields['state'] === state
  })
  const tookMs = performance.now() - sinceMs
  assert.ok(tookMs < EVACUATION_MS, `${zone} was ${state} after ${tookMs} ms`)
}

beforeEach(async () => {
  store = await StoreStandin.create()
  storePath = await TcpRelay.create({ target: `127.0.0.1:${store.port}` })
  replicas = []
  gateways = []
  store.put('config', 'main', fleetConfig({ version: 1, timeoutMs: 9_000 }))
  for (const zone of ['z1', 'z2']) {
    await addServer('p', zone)
    await addServer('m', zone, { service: 'models' })
  }
})

afterEach(async () => {
  await Promise.all(gateways.map((gateway) => gateway.close()))
  await Promise.all(replicas.map((replica) => replica.close()))
  await storePath.close()
  await store.close()
})

describe('while a zone is evacuated, an instance', () => {
  it('sends its servers nothing, serves all requests elsewhere, and returns afterwards', async () => {
    await startReady()
    await sendFor(500)
    assert.ok(arrivalsIn('z2', 0) > 0, 'the zone got requests before')
    await evacuate('z2')
    const sinceMs = performance.now()
    const statuses = await sendFor(1_500)
    assert.equal(arrivalsIn('z2', sinceMs), 0)
    assert.deepEqual([...new Set(statuses)], [200])
    await revoke('z2')
    const againMs = performance.now()
    await sendFor(500)
    assert.ok(arrivalsIn('z2', againMs) > 0, 'the zone gets requests again')
  })

  it('lets a stream that has begun there run to its end', async () => {
    const slow = await ReplicaStandin.create({ id: 'slow-z3', events: 60, eventMs: 100 })
    replicas.push(slow)
    for (const { id } of replicas.filter((replica) => replica.id.startsWith('m')))
      store.remove('servers', id)
    store.put('servers', slow.id, slow.entry({ zone: 'z3', service: 'models' }))
    const gateway = await startReady()
    requestCount += 1
    const requestId = `r-${requestCount}`
    const stream = sendToFleet({
      port: gateway.port,
      path: '/notes/long',
      headers: callerHeaders({ requestId, isStream: true, waitMs: 9_000 }),
    })
    await waitUntil(() => slow.openStreams === 1)
    await evacuate('z3')
    assert.equal(slow.openStreams, 1)
    const { status, body, isWhole } = await stream
    assert.equal(status, 200)
    assert.ok(isWhole)
    assert.equal(eventIds(body).length, 60)
    assert.equal(slow.runs.length, 1)
  })

  it('resumes a stream that breaks off there in another zone', async () => {
    const breaking = await ReplicaStandin.create({
      id: 'm-z3',
      events: 60,
      eventMs: 100,
    })
    replicas.push(breaking)
    const others = replicas.filter(({ id }) => ['m-z1', 'm-z2'].includes(id))
    for (const { id } of others) store.remove('servers', id)
    store.put('servers', 'm-z3', breaking.entry({ zone: 'z3', service: 'models' }))
    const gateway = await startReady()
    const stream = sendToFleet({
      port: gateway.port,
      path: '/notes/broken',
      headers: callerHeaders({ requestId: 'r-broken', isStream: true, waitMs: 9_000 }),
    })
    await waitUntil(() => breaking.openStreams === 1)
    const longer = await ReplicaStandin.create({ id: 'm-z4', events: 60, eventMs: 1 })
    replicas.push(longer)
    store.put('servers', 'm-z4', longer.entry({ zone: 'z4', service: 'models' }))
    await evacuate('z3')
    const sinceMs = performance.now()
    for (const socket of breaking.openSockets) socket.resetAndDestroy()
    const { status, body, isWhole } = await stream
    assert.equal(status, 200)
    assert.ok(isWhole)
    assert.equal(eventIds(body).length, 60)
    assert.ok((longer.runs[0]?.firstEvent ?? 0) > 1, 'the stream was resumed')
    assert.equal(arrivalsIn('z3', sinceMs), 0)
  })

  it('refuses requests at once as not run if all zones of a service are evacuated', async () => {
    await startReady()
    for (const zone of ['z1', 'z2']) await evacuate(zone)
    const sinceMs = performance.now()
    for (const kind of KINDS) {
      const { status, body, headers } = await send(kind)
      assert.equal(status, 503)
      assert.deepEqual(JSON.parse(body), { reason: 'zones_evacuated' })
      assert.ok(headers['retry-after'] !== undefined || headers['retry-after-ms'])
    }
    assert.equal(arrivalsIn('z1', sinceMs) + arrivalsIn('z2', sinceMs), 0)
  })

  it('uses the old version during a rollout whose new one runs only there', async () => {
    for (const { id } of replicas.filter(({ id }) => id.startsWith('p-')))
      store.remove('servers', id)
    const old = await addServer('old', 'z1')
    const target = await addServer('new', 'z2', { version: 'v2' })
    await startReady()
    store.put('rollouts', 'plain', { service: 'plain', target: 'v2', durationS: 5 })
    await waitUntil(async () => {
      await send('plain')
      return target.arrivals.length > 0
    })
    await evacuate('z2')
    const [sinceMs, oldCount] = [performance.now(), old.arrivals.length]
    for (let i = 0; i < 40; i += 1) assert.equal((await send('plain')).status, 200)
    assert.equal(arrivalsIn('z2', sinceMs), 0)
    assert.equal(old.arrivals.length, oldCount + 40)
  })
})

describe('an evacuation', () => {
  it('keeps an instance from relaying the connections of others to the zone', async () => {
    const relay = await startReady()
    const asking = await startReady()
    const ask = (): Promise<string> => askForConnection(relay, 'p-z2 1')
    // Until the instances know each other.
    await waitUntil(async () => (await ask()) === '200 ')
    await evacuate('z2')
    assert.equal(await ask(), '503 evacuated_zone')
    await revoke('z2')
    assert.equal(await ask(), '200 ')
    assert.ok(await asking.isReady())
  })

  it('is known to an instance that starts during it before it serves', async () => {
    store.put('evacuations', 'z2', {})
    await startReady()
    const statuses = await sendFor(500)
    assert.deepEqual([...new Set(statuses)], [200])
    assert.equal(arrivalsIn('z2', 0), 0)
  })

  it('keeps an instance that could not read it at its start from serving', async () => {
    store.put('evacuations', 'z2', {})
    store.modeFor = ({ url }) => (url?.includes('/evacuations') ? 'down' : undefined)
    const gateway = await addGateway()
    await sleep(1_500)
    assert.equal(await gateway.isReady(), false)
    assert.equal((await send('plain')).status, 503)
    store.modeFor = () => undefined
    await waitUntil(() => gateway.isReady())
    await sendFor(300)
    assert.equal(arrivalsIn('z2', 0), 0)
  })

  it('during a partition is applied within the time in contact after it', async () => {
    const port = Number(storePath.address.split(':')[1])
    await startReady(port)
    storePath.set({ type: 'silent' })
    await sleep(1_000)
    store.put('evacuations', 'z2', {})
    await sleep(EVACUATION_MS)
    storePath.set(PASS)
    storePath.resetOpen()
    await sleep(CONTACT_MS)
    const sinceMs = performance.now()
    const statuses = await sendFor(500)
    assert.equal(arrivalsIn('z2', sinceMs), 0)
    assert.deepEqual([...new Set(statuses)], [200])
  })

  it('that a restored store lacks holds until the operator has written it again', async () => {
    await startReady()
    const copy = store.copy()
    await evacuate('z2')
    const sinceMs = performance.now()
    store.restore(copy)
    const sending = sendFor(9_000)
    await waitForNews('z2', 'missing')
    await evacuate('z2')
    await sending
    assert.equal(arrivalsIn('z2', sinceMs), 0)
  })

  it('that a restored store still has although it was revoked ends when it is revoked again', async () => {
    await startReady()
    await evacuate('z2')
    const copy = store.copy()
    await revoke('z2')
    store.restore(copy)
    await waitForNews('z2', 'evacuated')
    await revoke('z2')
    const sinceMs = performance.now()
    await sendFor(500)
    assert.ok(arrivalsIn('z2', sinceMs) > 0)
  })

  it('is followed only in deployments with a bound, beside instances without one', async () => {
    const follower = await startReady()
    const older = await addGateway({})
    await waitUntil(() => older.isReady())
    await evacuate('z2')
    const sinceMs = performance.now()
    await sendFor(700, follower)
    assert.equal(arrivalsIn('z2', sinceMs), 0)
    await sendFor(700, older)
    assert.ok(arrivalsIn('z2', sinceMs) > 0)
    assert.ok(!older.lines.some(({ event }) => event === 'feed_pull_failed'))
  })
})
