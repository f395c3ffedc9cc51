import assert from 'node:assert/strict'
import {
  connect,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { Attempt, readFullBody } from '../attempt.js'
import { MemoryShare } from '../../memory/memoryShare.js'
import type { BackendServer } from '../../model/backendServer.js'
import type { ResponseMetadata } from '../../model/requestMetadata.js'
import type { DialResult } from '../../paths/dial.js'
import { ServerConnections, relayOf } from '../serverConnections.js'

const HOST = '127.0.0.1'

const METADATA: ResponseMetadata = {
  requestId: undefined,
  isSigned: true,
  wasNotExecuted: false,
  confidence: undefined,
  isEncoded: false,
  rateLimit: undefined,
  said: { statements: [], invalid: [] },
}

let backend: Server
/** Connections at the backend server. */
const accepted: Socket[] = []
/** Connections at this side. */
const dialed: Socket[] = []
let connections: ServerConnections
let dial: () => Promise<DialResult<Socket>>

function target(): BackendServer {
  return {
    id: 's1',
    startedAtMs: 1,
    service: 'plain',
    host: HOST,
    port: (backend.address() as AddressInfo).port,
    zone: 'z1',
    version: 'v1',
    slots: 6,
    isDraining: false,
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

/** Sends a request; resolves to the text of its answer, or to how it failed. */
async function send(): Promise<string> {
  const { host, port } = target()
  const attempt = Attempt.start({
    host,
    port,
    agent: connections.agentFor(target(), true),
    method: 'POST',
    path: '/',
    headers: ['Host', 'app.example', 'Content-Length', '0'],
    body: [],
    requestId: 'r1',
    readResponseMetadata: () => METADATA,
  })
  const head = await attempt.head
  if (head.type === 'failed') return `${head.runState}: ${head.detail}`
  const holder = { workspace: 'w', priority: 0 }
  const budget = MemoryShare.create(1_000_000, () => 0).open(holder)
  const result = await readFullBody(attempt, head, { maxBytes: 1_000, budget })
  return result.type === 'complete' ? Buffer.concat(result.body).toString() : result.type
}

/** Sends requests at once, so that as many connections are idle then. */
async function openIdle(count: number): Promise<void> {
  assert.deepEqual(
    await Promise.all(Array.from({ length: count }, send)),
    Array.from({ length: count }, () => 'ok'),
  )
  await sleep(1)
  assert.equal(connections.count('s1'), count)
}

beforeEach(async () => {
  backend = createServer({ allowHalfOpen: true }, (socket) => {
    accepted.push(socket)
    socket.on('error', () => undefined)
    socket.on('data', () => {
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
    })
  })
  await new Promise<void>((resolve) => backend.listen(0, HOST, resolve))
  dial = () =>
    new Promise((resolve) => {
      const connection = connect(target().port, HOST, () => {
        dialed.push(connection)
        const isRelayed = dialed.length % 2 === 0
        resolve({ type: 'connected', connection, ...(isRelayed && { relay: 'n2' }) })
      })
    })
  connections = ServerConnections.create({ dial: () => dial(), mayReuse: () => true })
})

afterEach(async () => {
  connections.close()
  for (const socket of [...accepted.splice(0), ...dialed.splice(0)]) socket.destroy()
  await new Promise((resolve) => backend.close(resolve))
})

// Guards against: a request on a connection that is already closed counts as maybe run, so
// that an unsafe one gets an error although nothing was sent.
describe('a request of the same turn of the event loop', () => {
  for (const relay of [undefined, 'n2']) {
    it(`doesn't get an idle connection that was closed, ${relay ?? 'direct'}`, async () => {
      await openIdle(4)
      connections.closeIdle((_server, other) => other === relay)
      assert.deepEqual(await Promise.all([send(), send(), send()]), ['ok', 'ok', 'ok'])
      assert.ok(dialed.filter((socket) => relayOf(socket) === relay).length >= 2)
    })
  }

  for (const event of ['end', 'finish'] as const) {
    it(`doesn't get an idle connection that its server has closed, at '${event}'`, async () => {
      await openIdle(1)
      const sent = new Promise<string>((resolve) => {
        dialed[0]?.once(event, () => {
          resolve(send())
        })
      })
      accepted[0]?.end()
      assert.equal(await sent, 'ok')
    })
  }
})

describe('a dial that throws', () => {
  it('fails its request, which was not run', async () => {
    dial = () => Promise.reject(new Error('no dialer'))
    assert.equal(await send(), 'not_run: no dialer')
    assert.equal(connections.count('s1'), 0)
    dial = () => {
      throw new Error('odd address')
    }
    assert.equal(await send(), 'not_run: odd address')
    assert.equal(connections.count('s1'), 0)
  })
})
