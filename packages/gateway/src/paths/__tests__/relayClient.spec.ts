import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { Attempt, readFullBody } from '../../forward/attempt.js'
import { ServerConnections } from '../../forward/serverConnections.js'
import { MemoryShare } from '../../memory/memoryShare.js'
import type { BackendServer } from '../../model/backendServer.js'
import type { ResponseMetadata } from '../../model/requestMetadata.js'
import type { RelayResult } from '../dial.js'
import { connectThrough } from '../relayClient.js'

const HOST = '127.0.0.1'
const OPENED = 'HTTP/1.1 200 OK\r\n\r\n'

/** Time between two events of the relay, in milliseconds. */
const PART_MS = 20

/** Larger than what the system keeps of a connection that nobody reads. */
const LARGE_BYTES = 20_000_000

const SERVER: BackendServer = {
  id: 's1',
  startedAtMs: 1,
  service: 'plain',
  host: HOST,
  port: 80,
  zone: 'z1',
  version: 'v1',
  slots: 6,
  isDraining: false,
}

const METADATA: ResponseMetadata = {
  requestId: undefined,
  isSigned: true,
  wasNotExecuted: false,
  confidence: undefined,
  isEncoded: false,
  rateLimit: undefined,
  said: { statements: [], invalid: [] },
}

/** Errors that would have ended a process. */
const uncaught: unknown[] = []
let relay: Server
/** Connections to the relay. */
const sockets: Socket[] = []
/** Called for each connection to the relay once it has been asked to relay. */
let onAsked: (socket: Socket) => void = () => undefined

process.on('uncaughtExceptionMonitor', (err) => uncaught.push(err))

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

function connectToServer(server = SERVER): Promise<RelayResult<Socket>> {
  const { port } = relay.address() as AddressInfo
  return connectThrough({ name: 'n2', host: HOST, port }, server).result
}

function startAttempt(connections: ServerConnections, body: Buffer): Attempt {
  return Attempt.start({
    host: HOST,
    port: SERVER.port,
    agent: connections.agentFor(SERVER, true),
    method: 'POST',
    path: '/',
    headers: ['Host', 'app.example', 'Content-Length', String(body.length)],
    body: [body],
    requestId: 'r1',
    readResponseMetadata: () => METADATA,
  })
}

function relayedConnections(): ServerConnections {
  return ServerConnections.create({
    dial: async () => {
      const result = await connectToServer()
      assert.equal(result.type, 'connected')
      return { ...(result as { type: 'connected'; connection: Socket }), relay: 'n2' }
    },
    mayReuse: () => true,
  })
}

/** Sends a request on a relayed connection; returns its answer's body. */
async function send(connections: ServerConnections, body: Buffer): Promise<string> {
  const attempt = startAttempt(connections, body)
  const head = await attempt.head
  if (head.type === 'failed') return head.reason
  const budget = MemoryShare.create(1_000_000, () => 0).open({
    workspace: 'w',
    priority: 0,
  })
  const result = await readFullBody(attempt, head, { maxBytes: 1_000, budget })
  return result.type === 'complete' ? Buffer.concat(result.body).toString() : result.type
}

beforeEach(async () => {
  relay = createServer({ allowHalfOpen: true }, (socket) => {
    sockets.push(socket)
    socket.on('error', () => undefined)
    socket.once('data', () => {
      onAsked(socket)
    })
  })
  await new Promise<void>((resolve) => relay.listen(0, HOST, resolve))
})

afterEach(async () => {
  for (const socket of sockets.splice(0)) socket.destroy()
  await new Promise((resolve) => relay.close(resolve))
  assert.deepEqual(uncaught.splice(0), [])
})

// Guards against: an error of a relayed connection that nobody handles ends the process.
describe('a relayed connection', () => {
  it('may break while a body is sent whose answer is whole', async () => {
    onAsked = (socket) => {
      socket.write(OPENED)
      socket.once('data', () => {
        socket.pause()
        socket.end('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
        setTimeout(() => socket.resetAndDestroy(), PART_MS)
      })
    }
    const connections = relayedConnections()
    assert.equal(await send(connections, Buffer.alloc(LARGE_BYTES)), 'ok')
    await sleep(2 * PART_MS)
    connections.close()
  })

  it('may be reset before it is used', async () => {
    for (const resetAfterMs of [0, 1, PART_MS / 2]) {
      onAsked = (socket) =>
        socket.write(OPENED, () => {
          if (resetAfterMs === 0) socket.resetAndDestroy()
          else setTimeout(() => socket.resetAndDestroy(), resetAfterMs)
        })
      const result = await connectToServer()
      if (result.type === 'failed') continue
      await sleep(PART_MS)
      result.connection.destroy()
    }
  })

  it('may be reset between two requests', async () => {
    onAsked = (socket) => {
      socket.write(OPENED)
      socket.on('data', (chunk) => {
        if (chunk.includes('POST'))
          socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
      })
    }
    const connections = relayedConnections()
    assert.equal(await send(connections, Buffer.from('x')), 'ok')
    await sleep(1)
    for (const socket of sockets.splice(0)) socket.resetAndDestroy()
    await sleep(PART_MS)
    assert.equal(await send(connections, Buffer.from('x')), 'ok')
    connections.close()
    await sleep(1)
  })

  it('brings the bytes that come with the answer of the relay', async () => {
    onAsked = (socket) => {
      socket.write(`${OPENED}early`)
      setTimeout(() => socket.end('late'), PART_MS)
    }
    const result = await connectToServer()
    assert.equal(result.type, 'connected')
    const { connection } = result as { connection: Socket }
    let received = ''
    connection.on('data', (chunk: Buffer) => (received += chunk.toString()))
    await once(connection, 'close')
    assert.equal(received, 'earlylate')
  })

  it('fails if the name of the server can be no header', async () => {
    const result = await connectToServer({ ...SERVER, id: 'ቀበሌ' })
    assert.deepEqual(result, { type: 'failed', failure: 'unavailable' })
  })
})
