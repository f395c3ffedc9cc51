/** A caller whose header section is within the configured bytes, but of very many fields. */
import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { afterEach, beforeEach, it } from 'node:test'
import {
  ReplicaStandin,
  StoreStandin,
  callerHeaders,
  fleetConfig,
} from '@wagtailway/standins'
import { startGateway, waitUntil, type TestGateway } from '../gatewayHarness.js'

/** Short fields, which come to about 14 KB of the 16 KB that are allowed. */
const FIELD_COUNT = 1_500

let store: StoreStandin
let replica: ReplicaStandin
let gateway: TestGateway

beforeEach(async () => {
  store = await StoreStandin.create()
  store.put('config', 'main', fleetConfig({ version: 1, timeoutMs: 10_000 }))
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

/** Sends requests one after the other on one connection; resolves to all that comes back. */
async function sendEach(heads: readonly string[]): Promise<string> {
  const socket = connect(gateway.port, '127.0.0.1')
  let received = ''
  socket.on('data', (chunk) => (received += chunk.toString('latin1')))
  const closed = new Promise((resolve) => socket.once('close', resolve))
  for (const [i, head] of heads.entries()) {
    socket.write(head)
    if (i < heads.length - 1)
      await waitUntil(() => received.split('HTTP/1.1 200').length > i + 1)
  }
  await closed
  return received
}

function requestHead(id: string, connection: string, fieldCount: number): string {
  const headers = Object.entries(callerHeaders({ requestId: id, waitMs: 9_000 }))
  const fields = Array.from({ length: fieldCount }, (_, i) => `${i.toString(36)}z: 1`)
  const head = [
    `POST /once/${id} HTTP/1.1`,
    'Host: app.example',
    `Connection: ${connection}`,
    'Content-Length: 0',
    ...headers.map(([name, value]) => `${name}: ${value}`),
    ...fields,
    '\r\n',
  ].join('\r\n')
  assert.ok(head.length < 16_384, `${head.length} bytes`)
  return head
}

// Guards against: a number of fields that is refused though its bytes are within the limit.
it('serves header sections of 1,500 fields, also on a kept connection', async () => {
  const received = await sendEach([
    requestHead('f-1', 'keep-alive', FIELD_COUNT),
    requestHead('f-2', 'keep-alive', 3),
    requestHead('f-3', 'close', FIELD_COUNT),
  ])
  assert.equal(received.split('HTTP/1.1 200').length - 1, 3, received.slice(0, 500))
  assert.equal(replica.runs.length, 3)
})
