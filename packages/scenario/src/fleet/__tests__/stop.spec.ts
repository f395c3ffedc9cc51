import assert from 'node:assert/strict'
import { connect, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import {
  ReplicaStandin,
  StoreStandin,
  callerHeaders,
  fleetConfig,
} from '@wagtailway/standins'
import { SoakGateway } from '../../soak/soakGateway.js'
import { sendToFleet } from '../fleetClient.js'
import { findFreePorts } from '../freePorts.js'
import { startGateway, waitUntil, type TestGateway } from '../gatewayHarness.js'
import { OddServer } from '../oddServer.js'

const GRACE_MS = 8_000

/** Time for which the balancer may still send requests, in milliseconds. */
const ROTATION_MS = 2_600

/** Size of an answer and the speed at which a slow caller reads it, per millisecond. */
const LARGE_BYTES = 12_000_000
const SLOW_BYTES_PER_MS = 2_400

let store: StoreStandin
let replica: ReplicaStandin
let gateway: TestGateway | undefined
const sockets: Socket[] = []

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

/** Keeps the event loop busy, as other work on a crowded machine does. */
function blockFor(ms: number): void {
  const untilMs = performance.now() + ms
  while (performance.now() < untilMs);
}

function requestHead(id: string, waitMs: number, more: readonly string[] = []): string {
  const headers = Object.entries(callerHeaders({ requestId: id, waitMs }))
  return [
    `POST /once/${id} HTTP/1.1`,
    'Host: app.example',
    ...headers.map(([name, value]) => `${name}: ${value}`),
    ...more,
    '\r\n',
  ].join('\r\n')
}

interface Connection {
  readonly socket: Socket
  /** What has been received so far. */
  received: string
  isClosed: boolean
}

async function open(port: number): Promise<Connection> {
  const socket = connect(port, '127.0.0.1')
  sockets.push(socket)
  const connection: Connection = { socket, received: '', isClosed: false }
  socket.on('data', (chunk) => (connection.received += chunk.toString('latin1')))
  socket.on('error', () => undefined)
  socket.on('close', () => (connection.isClosed = true))
  await new Promise((resolve) => {
    socket.once('connect', resolve)
    socket.once('close', resolve)
  })
  return connection
}

function statuses({ received }: Connection): string[] {
  return [...received.matchAll(/HTTP\/1\.1 (\d{3})/g)].map(([, status]) => status ?? '')
}

async function start(graceMs = GRACE_MS): Promise<TestGateway> {
  gateway = await startGateway('n1', store.port, {}, 'z1', graceMs)
  const started = gateway
  await waitUntil(() => started.isReady())
  return started
}

beforeEach(async () => {
  store = await StoreStandin.create()
  store.put('config', 'main', fleetConfig({ version: 1, timeoutMs: 10_000 }))
  replica = await ReplicaStandin.create({ id: 'p1', responseMs: () => 1_900 })
  store.put('servers', 'p1', replica.entry())
})

afterEach(async () => {
  for (const socket of sockets.splice(0)) socket.destroy()
  await gateway?.close()
  gateway = undefined
  await replica.close()
  await store.close()
})

// Guards against: a stop ends connections on which an answer is still owed, or runs what it
// can no longer answer.
describe('a stop', () => {
  it('waits for answers that slow callers still read', async () => {
    const body = 'x'.repeat(LARGE_BYTES)
    const large = await OddServer.create(
      () =>
        `HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nContent-Length: ${LARGE_BYTES}\r\n\r\n${body}`,
    )
    store.put('servers', 'p1', replica.entry({ address: large.address, sequence: 2 }))
    const { port, close } = await start()
    const { socket } = await open(port)
    socket.removeAllListeners('data')
    let receivedBytes = 0
    socket.pause()
    const timer = setInterval(() => {
      const chunk = socket.read(
        Math.min(socket.readableLength, SLOW_BYTES_PER_MS * 10),
      ) as Buffer | null
      receivedBytes += chunk?.length ?? 0
    }, 10)
    socket.write(requestHead('large', 9_000, ['Content-Length: 0']))
    await waitUntil(() => receivedBytes > 0)
    await close()
    await waitUntil(() => receivedBytes > LARGE_BYTES || socket.destroyed)
    clearInterval(timer)
    assert.ok(receivedBytes > LARGE_BYTES, `${receivedBytes} bytes`)
    await large.close()
  })

  it('ends in time if a caller reads nothing, and says what it gave up', async () => {
    const body = 'x'.repeat(LARGE_BYTES)
    const large = await OddServer.create(
      () =>
        `HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nContent-Length: ${LARGE_BYTES}\r\n\r\n${body}`,
    )
    store.put('servers', 'p1', replica.entry({ address: large.address, sequence: 2 }))
    const { port, close, lines } = await start()
    const { socket } = await open(port)
    socket.pause()
    socket.write(requestHead('mute', 9_000, ['Content-Length: 0']))
    await waitUntil(() => large.requestCount > 0)
    const startedAtMs = performance.now()
    await close()
    assert.ok(performance.now() - startedAtMs <= GRACE_MS)
    const cut = lines.find(({ event }) => event === 'answers_cut')
    assert.equal(cut?.fields['owedCount'], 1)
    await large.close()
  })

  it('ends soon if nothing is owed', async () => {
    const { port, close } = await start()
    const used = await open(port)
    used.socket.write(requestHead('used', 4_000, ['Content-Length: 0']))
    await waitUntil(() => statuses(used).length === 1)
    const startedAtMs = performance.now()
    await close()
    assert.ok(performance.now() - startedAtMs < ROTATION_MS + 1_000)
  })

  it('leaves no late request on an unused connection run and unanswered', async () => {
    const { port, close } = await start()
    const connections = await Promise.all(Array.from({ length: 16 }, () => open(port)))
    // Keeps the process from ending early.
    const first = sendToFleet({
      port,
      method: 'POST',
      path: '/once/first',
      headers: callerHeaders({ requestId: 'first', waitMs: 9_000 }),
    })
    const closed = close()
    for (const [i, { socket }] of connections.entries()) {
      await sleep(GRACE_MS / 20)
      socket.write(requestHead(`late-${i}`, 4_000, ['Content-Length: 0']))
    }
    await closed
    await waitUntil(() => connections.every(({ isClosed }) => isClosed))
    assert.equal((await first).status, 200)
    const ran = new Set(replica.runs.map(({ requestId }) => requestId))
    for (const [i, connection] of connections.entries()) {
      const answer = statuses(connection).join()
      // Both 503 and 408 say that the request has not run.
      const isRefused = /^(503|408)$/.test(answer)
      const wasCrossed = i === connections.length - 1 && answer === ''
      const isRight = ran.has(`late-${i}`) ? answer === '200' : isRefused || wasCrossed
      assert.ok(isRight, `late-${i}: ${answer}`)
    }
    assert.ok(ran.size > 4)
  })

  it('refuses as not run what becomes complete too late to be answered in time', async () => {
    const { port, close } = await start()
    const slow = await open(port)
    slow.socket.write(requestHead('slow', 9_000, ['Content-Length: 2']))
    await sleep(100)
    const closed = close()
    await sleep(ROTATION_MS + 400)
    slow.socket.write('xx')
    await closed
    await waitUntil(() => slow.isClosed)
    assert.deepEqual(statuses(slow), ['503'])
    assert.equal(replica.runs.length, 0)
  })

  it('accepts late what can be answered in time', async () => {
    const { port, close } = await start()
    const slow = await open(port)
    slow.socket.write(requestHead('slow', 6_500, ['Content-Length: 2']))
    await sleep(100)
    const closed = close()
    await sleep(ROTATION_MS + 400)
    slow.socket.write('xx')
    await closed
    await waitUntil(() => slow.isClosed)
    assert.deepEqual(statuses(slow), ['200'])
  })

  it('answers each request that runs of those sent behind one another', async () => {
    const { port, close } = await start()
    const pipelined = await open(port)
    const closed = close()
    await sleep(100)
    const ids = ['a', 'b', 'c']
    pipelined.socket.write(
      ids.map((id) => requestHead(id, 7_000, ['Content-Length: 0'])).join(''),
    )
    await closed
    await waitUntil(() => pipelined.isClosed)
    const ran = replica.runs.map(({ requestId }) => requestId).toSorted()
    assert.equal(statuses(pipelined).length, ran.length)
    assert.deepEqual(ran, ids.slice(0, ran.length))
    assert.ok(ran.length > 0)
  })

  it('reads what came while the process was busy before it closes connections', async () => {
    const { port, close } = await start()
    const kept = await Promise.all(Array.from({ length: 8 }, () => open(port)))
    for (const [i, { socket }] of kept.entries())
      socket.write(requestHead(`first-${i}`, 4_000, ['Content-Length: 0']))
    await waitUntil(() => kept.every((connection) => statuses(connection).length === 1))
    const closed = close()
    await sleep(ROTATION_MS - 100)
    // The event loop runs timers that are due before it reads again.
    await new Promise((resolve) => setImmediate(resolve))
    for (const [i, { socket }] of kept.entries())
      socket.write(requestHead(`second-${i}`, 4_000, ['Content-Length: 0']))
    const opened = Array.from({ length: 8 }, () => open(port))
    blockFor(300)
    const fresh = await Promise.all(opened)
    for (const [i, { socket }] of fresh.entries())
      socket.write(requestHead(`fresh-${i}`, 4_000, ['Content-Length: 0']))
    await closed
    await waitUntil(() => [...kept, ...fresh].every(({ isClosed }) => isClosed))
    assert.deepEqual(
      kept.map((connection) => statuses(connection).join()),
      kept.map(() => '200,200'),
    )
    assert.deepEqual(
      fresh.map((connection) => statuses(connection).join()),
      fresh.map(() => '200'),
    )
  })

  it('leaves time for requests in progress if the grace period is short', async () => {
    const graceMs = 2_000
    const quick = await ReplicaStandin.create({ id: 'p1', responseMs: () => 500 })
    store.put('servers', 'p1', quick.entry({ sequence: 2 }))
    const { port, close } = await start(graceMs)
    const startedAtMs = performance.now()
    const closed = close()
    await sleep(1_000)
    const headers = callerHeaders({ requestId: 'r-1', waitMs: 900 })
    const answer = sendToFleet({ port, method: 'POST', path: '/once/1', headers })
    await closed
    assert.ok(performance.now() - startedAtMs < graceMs)
    assert.equal((await answer).status, 200)
    await quick.close()
  })

  it('asks for no less with a second signal than with the first', async () => {
    const [callers = 0, readiness = 0, control = 0, peers = 0, metrics = 0] =
      await findFreePorts(5)
    const program = await SoakGateway.create({
      name: 'n1',
      host: '127.0.0.1',
      seeds: [],
      ports: { callers, readiness, control, peers, metrics },
      storePort: store.port,
    })
    await waitUntil(() => program.isReady())
    const answer = sendToFleet({
      port: callers,
      method: 'POST',
      path: '/once/1',
      headers: callerHeaders({ requestId: 'r-1', waitMs: 3_000 }),
    })
    await waitUntil(() => replica.runs.length === 1)
    for (const signal of ['SIGTERM', 'SIGTERM', 'SIGHUP', 'SIGTERM'] as const) {
      program.signal(signal)
      await sleep(100)
    }
    assert.equal((await answer).status, 200)
    await program.waitForExit()
    await program.close()
  })
})
