import assert from 'node:assert/strict'
import { connect, type Socket } from 'node:net'
import { after, before, describe, it } from 'node:test'
import {
  ReplicaStandin,
  StoreStandin,
  callerHeaders,
  fleetConfig,
} from '@wagtailway/standins'
import { startGateway, waitUntil, type TestGateway } from '../gatewayHarness.js'

/** Time in which the head of a request must come, in milliseconds. */
const HEADER_TIMEOUT_MS = 200

let store: StoreStandin
let replica: ReplicaStandin
let gateway: TestGateway
const sockets: Socket[] = []

before(async () => {
  store = await StoreStandin.create()
  const cfg = fleetConfig({ version: 1 }) as { readonly limits: object }
  const limits = { ...cfg.limits, headerTimeoutMs: HEADER_TIMEOUT_MS }
  store.put('config', 'main', { ...cfg, limits })
  replica = await ReplicaStandin.create({ id: 'p1' })
  store.put('servers', 'p1', replica.entry())
  gateway = await startGateway('n1', store.port)
  await waitUntil(() => gateway.isReady())
})

after(async () => {
  for (const socket of sockets) socket.destroy()
  await gateway.close()
  await replica.close()
  await store.close()
})

function requestHead(id: string): string {
  const headers = Object.entries(callerHeaders({ requestId: id, waitMs: 1_000 }))
  return [
    `POST /once/${id} HTTP/1.1`,
    'Host: app.example',
    ...headers.map(([name, value]) => `${name}: ${value}`),
    'Content-Length: 0',
    '\r\n',
  ].join('\r\n')
}

/** Sends the rest of a request after the answer to its late head; returns the answer. */
async function sendLate(head: string, sentBeforeBytes: number): Promise<string> {
  const socket = connect({ port: gateway.port, host: '127.0.0.1', allowHalfOpen: true })
  sockets.push(socket)
  let received = ''
  socket.on('data', (chunk) => (received += chunk.toString('latin1')))
  socket.on('error', () => undefined)
  await new Promise((resolve) => socket.once('connect', resolve))
  if (sentBeforeBytes > 0) socket.write(head.slice(0, sentBeforeBytes))
  await waitUntil(() => received !== '')
  socket.write(head.slice(sentBeforeBytes))
  await waitUntil(() => socket.readableEnded)
  // Time in which the request would reach the server.
  await new Promise((resolve) => setTimeout(resolve, 300))
  return received
}

function hasRun(id: string): boolean {
  return replica.runs.some(({ requestId }) => requestId === id)
}

// Guards against: a request runs although its caller has read status 408, which says that it
// never will.
describe('a request whose head comes after the time-out', () => {
  it('does not run on a connection that was not used before', async () => {
    const answer = await sendLate(requestHead('unused'), 0)
    assert.match(answer, /^HTTP\/1\.1 408 /)
    assert.ok(!hasRun('unused'))
  })

  it('does not run if its head had begun', async () => {
    const answer = await sendLate(requestHead('begun'), 30)
    assert.match(answer, /^HTTP\/1\.1 408 /)
    assert.ok(!hasRun('begun'))
  })
})
