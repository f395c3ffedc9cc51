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
import { callFleet, eventIds, type FleetAnswer } from '../fleetClient.js'
import { eventually, startGateway, type TestGateway } from '../gatewayHarness.js'

const KEY = { 'x-credential': 'key-1' }

let store: StoreStandin
let gateway: TestGateway
let plain: ReplicaStandin[]
let models: ReplicaStandin[]
let version = 1
let requests = 0

function call(
  path: string,
  opts: {
    key?: string
    post?: boolean
    stream?: boolean
    headers?: Record<string, string>
  } = {},
): Promise<FleetAnswer> {
  requests += 1
  return callFleet({
    port: gateway.port,
    path,
    method: opts.post === true ? 'POST' : 'GET',
    headers: {
      ...callerHeaders({
        requestId: `r-${requests}`,
        isStream: opts.stream === true,
        ...(opts.key !== undefined && { key: opts.key }),
      }),
      ...opts.headers,
    },
    ...(opts.post === true && { body: 'body' }),
  })
}

function runsOf(replicas: readonly ReplicaStandin[]): number {
  return replicas.reduce((sum, { runs }) => sum + runs.length, 0)
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
  await eventually(() => gateway.isReady())
})

after(async () => {
  await gateway.close()
  await Promise.all([...plain, ...models].map((replica) => replica.close()))
  await store.close()
})

beforeEach(() => {
  for (const replica of [...plain, ...models]) {
    replica.runs.length = 0
    replica.fate = () => 'answer'
  }
})

describe('a request through the gateway', () => {
  it('reaches a server unchanged, without the key and with the workspace', async () => {
    const answer = await call('/plain/7?a=b', { headers: { 'x-tenant': 'forged' } })
    assert.equal(answer.status, 200)
    assert.match(answer.body, /^GET \/plain\/7\?a=b by p/)
    const run = plain.flatMap(({ runs }) => runs)[0]
    assert.equal(run?.workspace, 'kebele')
  })

  it('is refused without a route or a known key', async () => {
    assert.equal((await call('/nowhere/')).status, 404)
    assert.equal((await call('/plain/7', { key: 'unknown' })).status, 401)
    assert.equal(runsOf(plain), 0)
  })

  it('is sent to another server after a failure if it is idempotent', async () => {
    const [first] = plain
    assert.ok(first)
    for (const replica of plain) {
      replica.fate = () => (runsOf(plain) === 0 ? 'error' : 'answer')
    }
    assert.equal((await call('/plain/7')).status, 200)
    assert.equal(runsOf(plain), 2)
  })

  it('runs once and is never called not run if its answer is lost', async () => {
    for (const replica of plain) replica.fate = () => 'lose'
    const answer = await call('/once/7', { post: true })
    assert.equal(answer.status, 502)
    assert.equal(runsOf(plain), 1)
  })

  it('is refused with a time to come back if no server takes it', async () => {
    for (const replica of plain) replica.fate = () => 'shed'
    const answer = await call('/once/7', { post: true })
    assert.equal(answer.status, 503)
    assert.ok(Number(answer.headers['retry-after']) > 0)
    assert.equal(runsOf(plain), 0)
  })

  it('never gets half an answer that looks whole', async () => {
    for (const replica of plain) replica.fate = () => 'cut'
    const answer = await call('/once/7', { post: true })
    assert.equal(answer.status, 502)
    assert.equal(runsOf(plain), 1)
  })

  it('is ended at the time-out of its route', async () => {
    for (const replica of plain) replica.fate = () => 'hang'
    const startMs = performance.now()
    const answer = await call('/once/7', { post: true })
    assert.equal(answer.status, 504)
    assert.ok(performance.now() - startMs < 2_500)
  })
})

describe('a stream through the gateway', () => {
  it('comes from the large model only, if the small one is not sure', async () => {
    const answer = await call('/notes/7', { stream: true })
    assert.deepEqual(eventIds(answer.body), [1, 2, 3, 4, 5])
    assert.doesNotMatch(answer.body, /small/)
    const runs = models.flatMap((replica) => replica.runs)
    const inOrder = runs.toSorted((a, b) => a.atMs - b.atMs)
    assert.deepEqual(
      inOrder.map(({ model }) => model),
      ['small', 'large'],
    )
  })

  it('goes on at another server after a cut in the middle of an event', async () => {
    for (const replica of models) {
      replica.fate = (req) =>
        req.headers['x-model'] === 'large' && req.headers['last-event-id'] === undefined
          ? 'cut'
          : 'answer'
    }
    const answer = await call('/notes/7', { stream: true })
    assert.deepEqual(eventIds(answer.body), [1, 2, 3, 4, 5])
    assert.equal(answer.isWhole, true)
  })

  it('is visibly broken off if no server can finish it', async () => {
    for (const replica of models) {
      replica.fate = (req) => (req.headers['x-model'] === 'large' ? 'cut' : 'answer')
    }
    const answer = await call('/notes/7', { stream: true })
    assert.equal(answer.isWhole, false)
  })
})

describe('changes in the store', () => {
  it('take a removed key and a dropped route out of force', async () => {
    putConfig({ keys: ['key-2'], hasPlain: false })
    await eventually(async () => (await call('/once/1', { post: true })).status === 401)
    await eventually(
      async () => (await call('/plain/1', { key: 'key-2' })).status === 404,
    )
    putConfig()
    await eventually(async () => (await call('/plain/1')).status === 200)
  })

  it('keep requests away from a leaving server, and unreadable entries harm no other', async () => {
    const [leaving, other] = plain
    assert.ok(leaving && other)
    store.put('servers', 'stranger', { state: 'asleep', address: 7 })
    store.put('servers', leaving.id, leaving.entry({ state: 'draining' }))
    await eventually(() =>
      gateway.lines.some(({ event, fields }) => {
        return event === 'server' && fields['state'] === 'leaving'
      }),
    )
    leaving.runs.length = 0
    await Promise.all(Array.from({ length: 20 }, (_, i) => call(`/plain/${i}`)))
    assert.equal(leaving.runs.length, 0)
    assert.equal(runsOf(plain), 20)
    store.put('servers', leaving.id, leaving.entry())
  })

  it('are followed after the history is gone', async () => {
    store.dropHistory()
    putConfig({ keys: ['key-3'] })
    await eventually(
      async () => (await call('/plain/1', { key: 'key-3' })).status === 200,
    )
    putConfig()
    await eventually(async () => (await call('/plain/1')).status === 200)
  })

  for (const mode of ['down', 'busy', 'silent', 'reset'] as const) {
    it(`are followed again after the store was ${mode}, and requests served meanwhile`, async () => {
      store.mode = mode
      await new Promise((resolve) => setTimeout(resolve, 300))
      assert.equal((await call('/plain/1')).status, 200)
      store.mode = 'up'
      putConfig({ keys: [`key-${mode}`] })
      const isFollowed = async (): Promise<boolean> =>
        (await call('/plain/1', { key: `key-${mode}` })).status === 200
      await eventually(isFollowed)
      putConfig()
      await eventually(async () => (await call('/plain/1')).status === 200)
    })
  }
})

describe('the life of a gateway', () => {
  it('answers 503, never 404, until it knows the configuration', async () => {
    store.mode = 'down'
    const late = await startGateway('n2', store.port)
    const early = await callFleet({ port: late.port, path: '/plain/1', headers: KEY })
    assert.equal(early.status, 503)
    assert.ok(Number(early.headers['retry-after']) > 0)
    assert.equal(await late.isReady(), false)
    store.mode = 'up'
    await eventually(() => late.isReady())
    await late.close()
  })

  it('finishes what it has while it leaves, and says at once that it does', async () => {
    const leaving = await startGateway('n3', store.port)
    await eventually(() => leaving.isReady())
    for (const replica of models) replica.fate = () => 'answer'
    const answer = callFleet({
      port: leaving.port,
      path: '/notes/1',
      headers: { ...KEY, 'x-request-id': 'leaving', accept: 'text/event-stream' },
    })
    const left = leaving.close()
    assert.equal(await leaving.isReady(), false)
    assert.deepEqual(eventIds((await answer).body), [1, 2, 3, 4, 5])
    await left
  })
})

describe('a stream that comes on an old connection to a gateway that is almost gone', () => {
  it('is refused at once instead of being cut', async () => {
    const leaving = await startGateway('n4', store.port)
    await eventually(() => leaving.isReady())
    for (const replica of models) replica.fate = () => 'hang'
    const socket = connect(leaving.port, '127.0.0.1')
    await once(socket, 'connect')
    const left = leaving.close()
    await new Promise((resolve) => setTimeout(resolve, 3_200))
    socket.write(
      'GET /notes/1 HTTP/1.1\r\nHost: app.example\r\nX-Credential: key-1\r\n' +
        'X-Request-Id: late\r\nAccept: text/event-stream\r\n\r\n',
    )
    const [head] = (await once(socket, 'data')) as [Buffer]
    assert.match(head.toString(), /^HTTP\/1.1 503 /)
    assert.match(head.toString(), /Connection: close/i)
    await left
    assert.equal(runsOf(models), 0)
    socket.destroy()
  })
})

describe('a roll-out', () => {
  it('is completed though the answers to its writes are lost', async () => {
    const fresh = await ReplicaStandin.create({ id: 'p9' })
    plain.push(fresh)
    store.put('servers', 'p9', fresh.entry({ version: 'v2' }))
    store.loseAnswers = 2
    store.put('rollouts', 'plain', { service: 'plain', target: 'v2', durationS: 6 })
    const state = (): unknown =>
      (store.read('rollouts', 'plain')?.status as { state?: string } | null)?.state
    await eventually(() => state() === 'completed')
    assert.equal((await call('/plain/1')).body, 'GET /plain/1 by p9')
    store.remove('rollouts', 'plain')
  })
})
