import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect } from 'node:net'
import { after, before, beforeEach, describe, it } from 'node:test'
import {
  ReplicaStandin,
  StoreStandin,
  callerHeaders,
  fleetConfig,
} from '@wagtailway/standins'
import { eventIds, sendToFleet, type FleetResponse } from '../fleetClient.js'
import { startGateway, waitUntil, type TestGateway } from '../gatewayHarness.js'

/** Pause between requests that are sent regularly, in milliseconds. */
const REQUEST_PAUSE_MS = 20

const KEY = { 'x-credential': 'key-1' }

let store: StoreStandin
let gateway: TestGateway
let plain: ReplicaStandin[]
let models: ReplicaStandin[]
let version = 1
let requestCount = 0

/** Time within which the gateway must apply a change, in milliseconds. */
const PROPAGATION_MS = 2_000

function send(
  path: string,
  opts: {
    key?: string
    post?: boolean
    stream?: boolean
    headers?: Record<string, string>
  } = {},
): Promise<FleetResponse> {
  requestCount += 1
  return sendToFleet({
    port: gateway.port,
    path,
    method: opts.post === true ? 'POST' : 'GET',
    headers: {
      ...callerHeaders({
        requestId: `r-${requestCount}`,
        isStream: opts.stream === true,
        ...(opts.key !== undefined && { key: opts.key }),
      }),
      ...opts.headers,
    },
    ...(opts.post === true && { body: 'body' }),
  })
}

function countRuns(replicas: readonly ReplicaStandin[]): number {
  return replicas.reduce((sum, { runs }) => sum + runs.length, 0)
}

function countStoreCalls(): number {
  return [...store.calls.values()].reduce((sum, count) => sum + count, 0)
}

function putConfig(opts: Omit<Parameters<typeof fleetConfig>[0], 'version'> = {}): void {
  version += 3
  store.put('config', 'main', fleetConfig({ version, ...opts }))
}

before(async () => {
  store = await StoreStandin.create()
  plain = await Promise.all(['p1', 'p2', 'p3'].map((id) => ReplicaStandin.create({ id })))
  const confidence = (model: string): number => (model === 'small' ? 10 : 90)
  models = await Promise.all(
    ['m1', 'm2'].map((id) => ReplicaStandin.create({ id, confidence })),
  )
  putConfig()
  for (const replica of plain) store.put('servers', replica.id, replica.entry())
  for (const replica of models) {
    store.put('servers', replica.id, replica.entry({ service: 'models' }))
  }
  gateway = await startGateway('n1', store.port)
  await waitUntil(() => gateway.isReady())
})

after(async () => {
  await gateway.close()
  await Promise.all([...plain, ...models].map((replica) => replica.close()))
  await store.close()
})

beforeEach(() => {
  for (const replica of [...plain, ...models]) {
    replica.runs.length = 0
    replica.behaviour = () => 'answer'
  }
})

describe('a request through the gateway', () => {
  it('reaches a backend server unchanged, but with the workspace instead of the key', async () => {
    const response = await send('/plain/7?a=b', { headers: { 'x-tenant': 'forged' } })
    assert.equal(response.status, 200)
    assert.match(response.body, /^GET \/plain\/7\?a=b by p/)
    const run = plain.flatMap(({ runs }) => runs)[0]
    assert.equal(run?.workspace, 'kebele')
  })

  it('is refused if no route or key matches', async () => {
    assert.equal((await send('/nowhere/')).status, 404)
    assert.equal((await send('/plain/7', { key: 'unknown' })).status, 401)
    assert.equal(countRuns(plain), 0)
  })

  it('is retried at another backend server after a failure if it is idempotent', async () => {
    const [first] = plain
    assert.ok(first)
    for (const replica of plain) {
      replica.behaviour = () => (countRuns(plain) === 0 ? 'error' : 'answer')
    }
    assert.equal((await send('/plain/7')).status, 200)
    assert.equal(countRuns(plain), 2)
  })

  it('runs once and is not reported as not run if its response is lost', async () => {
    for (const replica of plain) replica.behaviour = () => 'lose'
    const response = await send('/once/7', { post: true })
    assert.equal(response.status, 502)
    assert.equal(countRuns(plain), 1)
  })

  it('is refused with a retry-after time if every backend server sheds it', async () => {
    for (const replica of plain) replica.behaviour = () => 'shed'
    const response = await send('/once/7', { post: true })
    assert.equal(response.status, 503)
    assert.ok(Number(response.headers['retry-after']) > 0)
    assert.equal(countRuns(plain), 0)
  })

  it('never gets a partial response that looks complete', async () => {
    for (const replica of plain) replica.behaviour = () => 'cut'
    const response = await send('/once/7', { post: true })
    assert.equal(response.status, 502)
    assert.equal(countRuns(plain), 1)
  })

  it('ends at the timeout of its route', async () => {
    for (const replica of plain) replica.behaviour = () => 'hang'
    const startMs = performance.now()
    const response = await send('/once/7', { post: true })
    assert.equal(response.status, 504)
    assert.ok(performance.now() - startMs < 2_500)
  })
})

describe('a stream through the gateway', () => {
  it('comes only from the large model if the confidence of the small model is too low', async () => {
    const response = await send('/notes/7', { stream: true })
    assert.deepEqual(eventIds(response.body), [1, 2, 3, 4, 5])
    assert.doesNotMatch(response.body, /small/)
    const runs = models.flatMap((replica) => replica.runs)
    const inOrder = runs.toSorted((a, b) => a.atMs - b.atMs)
    assert.deepEqual(
      inOrder.map(({ model }) => model),
      ['small', 'large'],
    )
  })

  it('resumes at another backend server after a reset in the middle of an event', async () => {
    for (const replica of models) {
      replica.behaviour = (req) =>
        req.headers['x-model'] === 'large' && req.headers['last-event-id'] === undefined
          ? 'cut'
          : 'answer'
    }
    const response = await send('/notes/7', { stream: true })
    assert.deepEqual(eventIds(response.body), [1, 2, 3, 4, 5])
    assert.equal(response.isWhole, true)
  })

  it('ends as incomplete if no backend server can finish it', async () => {
    for (const replica of models) {
      replica.behaviour = (req) => (req.headers['x-model'] === 'large' ? 'cut' : 'answer')
    }
    const response = await send('/notes/7', { stream: true })
    assert.equal(response.isWhole, false)
  })
})

describe('changes in the store', () => {
  it('disable a removed key and a removed route', async () => {
    putConfig({ keys: ['key-2'], hasPlain: false })
    await waitUntil(async () => (await send('/once/1', { post: true })).status === 401)
    await waitUntil(async () => (await send('/plain/1', { key: 'key-2' })).status === 404)
    putConfig()
    await waitUntil(async () => (await send('/plain/1')).status === 200)
  })

  it('stop requests to a draining backend server, and an invalid entry affects no other', async () => {
    const [draining, other] = plain
    assert.ok(draining && other)
    store.put('servers', 'stranger', { state: 'asleep', address: 7 })
    store.put('servers', draining.id, draining.entry({ state: 'draining' }))
    await waitUntil(() =>
      gateway.lines.some(({ event, fields }) => {
        return event === 'server' && fields['state'] === 'leaving'
      }),
    )
    draining.runs.length = 0
    await Promise.all(Array.from({ length: 20 }, (_, i) => send(`/plain/${i}`)))
    assert.equal(draining.runs.length, 0)
    assert.equal(countRuns(plain), 20)
    store.put('servers', draining.id, draining.entry())
  })

  it('are followed after the history was dropped', async () => {
    store.dropHistory()
    putConfig({ keys: ['key-3'] })
    await waitUntil(async () => (await send('/plain/1', { key: 'key-3' })).status === 200)
    putConfig()
    await waitUntil(async () => (await send('/plain/1')).status === 200)
  })

  it('are followed after the store was restored from an older copy', async () => {
    const copy = store.copy()
    // Written after the copy, so these revisions are given out again.
    for (let i = 0; i < 50; i += 1) store.put('servers', 'stranger', { state: i })
    await waitUntil(() =>
      gateway.lines.some(
        ({ event, fields }) => event === 'feed_update' && fields['kind'] === 'servers',
      ),
    )
    await new Promise((resolve) => setTimeout(resolve, 300))
    store.restore(copy)
    const callsBefore = countStoreCalls()
    putConfig({ keys: ['key-restored'] })
    await new Promise((resolve) => setTimeout(resolve, PROPAGATION_MS))
    const response = await send('/plain/1', { key: 'key-restored' })
    const calls = countStoreCalls() - callsBefore
    for (let i = 0; i < 100; i += 1) store.put('servers', 'stranger', { state: i })
    putConfig()
    await waitUntil(async () => (await send('/plain/1')).status === 200)
    assert.equal(response.status, 200)
    assert.ok(calls < 50, `${calls} calls`)
  })

  for (const mode of ['down', 'busy', 'silent', 'reset'] as const) {
    it(`are followed again after the store was ${mode}, and requests are served meanwhile`, async () => {
      store.mode = mode
      await new Promise((resolve) => setTimeout(resolve, 300))
      assert.equal((await send('/plain/1')).status, 200)
      store.mode = 'up'
      putConfig({ keys: [`key-${mode}`] })
      const isFollowed = async (): Promise<boolean> =>
        (await send('/plain/1', { key: `key-${mode}` })).status === 200
      await waitUntil(isFollowed)
      putConfig()
      await waitUntil(async () => (await send('/plain/1')).status === 200)
    })
  }
})

describe('the lifecycle of a gateway', () => {
  it('responds with 503, never 404, until it has a configuration', async () => {
    store.mode = 'down'
    const startedLate = await startGateway('n2', store.port)
    const earlyResponse = await sendToFleet({
      port: startedLate.port,
      path: '/plain/1',
      headers: KEY,
    })
    assert.equal(earlyResponse.status, 503)
    assert.ok(Number(earlyResponse.headers['retry-after']) > 0)
    assert.equal(await startedLate.isReady(), false)
    store.mode = 'up'
    await waitUntil(() => startedLate.isReady())
    await startedLate.close()
  })

  it('finishes open requests while it drains, and is unready at once', async () => {
    const draining = await startGateway('n3', store.port)
    await waitUntil(() => draining.isReady())
    for (const replica of models) replica.behaviour = () => 'answer'
    const pendingResponse = sendToFleet({
      port: draining.port,
      path: '/notes/1',
      headers: { ...KEY, 'x-request-id': 'leaving', accept: 'text/event-stream' },
    })
    const closed = draining.close()
    assert.equal(await draining.isReady(), false)
    assert.deepEqual(eventIds((await pendingResponse).body), [1, 2, 3, 4, 5])
    await closed
  })
})

describe('a stream request on an open connection to a gateway late in its drain', () => {
  it('is refused at once instead of being cut', async () => {
    const draining = await startGateway('n4', store.port)
    await waitUntil(() => draining.isReady())
    for (const replica of models) replica.behaviour = () => 'hang'
    const socket = connect(draining.port, '127.0.0.1')
    await once(socket, 'connect')
    const closed = draining.close()
    await new Promise((resolve) => setTimeout(resolve, 3_200))
    socket.write(
      'GET /notes/1 HTTP/1.1\r\nHost: app.example\r\nX-Credential: key-1\r\n' +
        'X-Request-Id: late\r\nAccept: text/event-stream\r\n\r\n',
    )
    const [responseHead] = (await once(socket, 'data')) as [Buffer]
    assert.match(responseHead.toString(), /^HTTP\/1.1 503 /)
    assert.match(responseHead.toString(), /Connection: close/i)
    await closed
    assert.equal(countRuns(models), 0)
    socket.destroy()
  })
})

describe('a rollout', () => {
  it('completes although responses to its writes are lost', async () => {
    const newReplica = await ReplicaStandin.create({ id: 'p9' })
    plain.push(newReplica)
    store.put('servers', 'p9', newReplica.entry({ version: 'v2' }))
    store.loseNextResponses = 2
    store.put('rollouts', 'plain', { service: 'plain', target: 'v2', durationS: 6 })
    const rolloutState = (): unknown =>
      (store.read('rollouts', 'plain')?.status as { state?: string } | null)?.state
    // A version that no request has reached is not completed.
    const timer = setInterval(() => void send('/plain/2'), REQUEST_PAUSE_MS)
    await waitUntil(() => rolloutState() === 'completed')
    clearInterval(timer)
    assert.equal((await send('/plain/1')).body, 'GET /plain/1 by p9')
    store.remove('rollouts', 'plain')
  })
})
