/**
 * A request in progress must be answered whatever comes behind it on its connection: a head
 * that does not become complete in time, or bytes that are no request.
 */
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

/** Time of a run, longer than the time allowed for a head, in milliseconds. */
const RUN_MS = 4_500

let store: StoreStandin
let replica: ReplicaStandin
let gateway: TestGateway

beforeEach(async () => {
  store = await StoreStandin.create()
  store.put('config', 'main', fleetConfig({ version: 1, timeoutMs: 10_000 }))
  replica = await ReplicaStandin.create({ id: 'p1', responseMs: () => RUN_MS })
  store.put('servers', 'p1', replica.entry())
  gateway = await startGateway('n1', store.port)
  await waitUntil(() => gateway.isReady())
})

afterEach(async () => {
  await gateway.close()
  await replica.close()
  await store.close()
})

function head(id: string): string {
  const headers = Object.entries(callerHeaders({ requestId: id, waitMs: 8_000 }))
  return [
    `POST /once/${id} HTTP/1.1`,
    'Host: app.example',
    ...headers.map(([name, value]) => `${name}: ${value}`),
    'Content-Length: 0',
    '\r\n',
  ].join('\r\n')
}

/** Sends bytes on one connection; returns the statuses of the answers once it is closed. */
function exchange(parts: readonly string[]): Promise<string[]> {
  return new Promise((resolve) => {
    const socket = connect(gateway.port, '127.0.0.1')
    let received = ''
    socket.on('data', (chunk) => (received += chunk.toString('latin1')))
    socket.on('error', () => undefined)
    socket.on('close', () => {
      resolve(
        [...received.matchAll(/HTTP\/1\.1 (\d{3})/g)].map(([, status = '']) => status),
      )
    })
    for (const [i, part] of parts.entries()) setTimeout(() => socket.write(part), i * 100)
  })
}

describe('a request in progress is answered', () => {
  it('if the head behind it does not become complete in time', async () => {
    const statuses = await exchange([head('a1'), head('a2').slice(0, 30)])
    assert.deepEqual(statuses, ['200'])
    assert.deepEqual(
      replica.runs.map(({ requestId }) => requestId),
      ['a1'],
    )
  })

  it('if bytes behind it are no request', async () => {
    assert.deepEqual(await exchange([head('b1'), 'garbage\r\n\r\n']), ['200'])
  })

  it('if a whole request and then garbage come behind it', async () => {
    const statuses = await exchange([head('c1') + head('c2'), '\0\0\0\r\n\r\n'])
    assert.deepEqual(statuses, ['200', '200'])
  })
})
