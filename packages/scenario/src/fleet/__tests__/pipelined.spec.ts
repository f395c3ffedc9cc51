/** Requests that are sent ahead on one connection: a few are served, very many end it. */
import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import {
  ReplicaStandin,
  StoreStandin,
  callerHeaders,
  fleetConfig,
} from '@wagtailway/standins'
import { startGateway, waitUntil, type TestGateway } from '../gatewayHarness.js'

const RUN_MS = 50

/** Requests of one connection that the gateway handles at a time, and that it takes at all. */
const MAX_HANDLED = 4
const MAX_OWED = 32

let store: StoreStandin
let replica: ReplicaStandin
let gateway: TestGateway
let inProgress = 0
let mostInProgress = 0

beforeEach(async () => {
  store = await StoreStandin.create()
  store.put('config', 'main', fleetConfig({ version: 1, timeoutMs: 10_000 }))
  replica = await ReplicaStandin.create({
    id: 'p1',
    responseMs: () => {
      inProgress += 1
      mostInProgress = Math.max(mostInProgress, inProgress)
      setTimeout(() => (inProgress -= 1), RUN_MS)
      return RUN_MS
    },
  })
  store.put('servers', 'p1', replica.entry())
  gateway = await startGateway('n1', store.port)
  await waitUntil(() => gateway.isReady())
})

afterEach(async () => {
  await gateway.close()
  await replica.close()
  await store.close()
})

function head(id: string, connection: string): string {
  const headers = Object.entries(callerHeaders({ requestId: id, waitMs: 8_000 }))
  return [
    `POST /once/${id} HTTP/1.1`,
    'Host: app.example',
    ...headers.map(([name, value]) => `${name}: ${value}`),
    `Connection: ${connection}`,
    'Content-Length: 0',
    '\r\n',
  ].join('\r\n')
}

/** Sends requests in one piece; returns the ids of the answers once the connection is closed. */
function answeredIds(count: number): Promise<string[]> {
  const heads = Array.from({ length: count }, (_, i) =>
    head(`r-${i}`, i === count - 1 ? 'close' : 'keep-alive'),
  )
  return new Promise((resolve) => {
    const socket = connect(gateway.port, '127.0.0.1', () => socket.write(heads.join('')))
    let received = ''
    socket.on('data', (chunk) => (received += chunk.toString('latin1')))
    socket.on('error', () => undefined)
    socket.on('close', () => {
      const ids = [...received.matchAll(/x-request-id: (r-\d+)/gi)]
      resolve(ids.map(([, id = '']) => id))
    })
  })
}

function ids(count: number): string[] {
  return Array.from({ length: count }, (_, i) => `r-${i}`)
}

// Guards against: a client takes the descriptors and the heap with requests sent ahead, or loses
// the answer to a request that has run.
describe('requests sent ahead on one connection', () => {
  it('are all answered if they are a few, not all at a time', async () => {
    mostInProgress = 0
    assert.deepEqual(await answeredIds(20), ids(20))
    assert.ok(mostInProgress <= MAX_HANDLED, `${mostInProgress} at a time`)
  })

  it('run and are answered up to a bound, and those behind it do not run', async () => {
    assert.deepEqual(await answeredIds(300), ids(MAX_OWED))
    const ranIds = replica.runs.map(({ requestId }) => requestId)
    assert.deepEqual(new Set(ranIds), new Set(ids(MAX_OWED)))
    const limited = gateway.lines.filter(({ event }) => event === 'client_limited')
    assert.deepEqual(
      limited.map(({ fields }) => fields['limit']),
      ['pipelined'],
    )
  })
})
