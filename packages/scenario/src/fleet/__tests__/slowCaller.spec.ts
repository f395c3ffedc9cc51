/** A caller at the limits of the configuration, which sends slowly, is served. */
import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { afterEach, beforeEach, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import {
  ReplicaStandin,
  StoreStandin,
  callerHeaders,
  fleetConfig,
} from '@wagtailway/standins'
import { startGateway, waitUntil, type TestGateway } from '../gatewayHarness.js'

const BODY_BYTES = 4_194_304
const PIECE_COUNT = 8

/** Time for the header section, of 3,000 allowed, and for the body, in milliseconds. */
const HEAD_MS = 2_200
const BODY_MS = 2_400

/** Header fields beside those of each request, with as many bytes as the limit leaves. */
const FIELD_COUNT = 100
const VALUE_BYTES = 145

let store: StoreStandin
let replica: ReplicaStandin
let gateway: TestGateway

beforeEach(async () => {
  store = await StoreStandin.create()
  const bodyBytes = BODY_BYTES
  store.put('config', 'main', fleetConfig({ version: 1, timeoutMs: 10_000, bodyBytes }))
  replica = await ReplicaStandin.create({ id: 'p1' })
  store.put('servers', 'p1', replica.entry())
  gateway = await startGateway('n1', store.port)
  await waitUntil(() => gateway.isReady())
})

afterEach(async () => {
  await gateway.close()
  await replica.close()
  await store.close()
})

// Guards against: limits for clients outside the configuration touch one within it.
it('serves a large header section and a large body that come slowly', async () => {
  const headers = Object.entries(callerHeaders({ requestId: 's-1', waitMs: 9_000 }))
  const filler = Array.from(
    { length: FIELD_COUNT },
    (_, i) => `x-filler-${i}: ${'v'.repeat(VALUE_BYTES)}`,
  )
  const head = [
    'POST /once/s-1 HTTP/1.1',
    'Host: app.example',
    'Connection: close',
    `Content-Length: ${BODY_BYTES}`,
    ...headers.map(([name, value]) => `${name}: ${value}`),
    ...filler,
    '\r\n',
  ].join('\r\n')
  assert.ok(head.length > 15_500 && head.length < 16_384, `${head.length} bytes`)
  const socket = connect(gateway.port, '127.0.0.1')
  let received = ''
  socket.on('data', (chunk) => (received += chunk.toString('latin1')))
  const closed = new Promise((resolve) => socket.once('close', resolve))
  const body = 'x'.repeat(BODY_BYTES)
  for (const [text, ms] of [
    [head, HEAD_MS],
    [body, BODY_MS],
  ] as const) {
    const size = Math.ceil(text.length / PIECE_COUNT)
    for (let from = 0; from < text.length; from += size) {
      socket.write(text.slice(from, from + size))
      await sleep(ms / PIECE_COUNT)
    }
  }
  await closed
  assert.match(received, /^HTTP\/1\.1 200 /)
  assert.equal(replica.runs.length, 1)
  assert.equal(replica.runs[0]?.body.length, BODY_BYTES)
  const limited = gateway.lines.filter(({ event }) => event === 'client_limited')
  assert.deepEqual(limited, [])
})
