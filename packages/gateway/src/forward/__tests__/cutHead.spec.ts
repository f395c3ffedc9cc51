import assert from 'node:assert/strict'
import { once } from 'node:events'
import {
  connect,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net'
import { after, before, describe, it } from 'node:test'
import type { BackendServer } from '../../model/backendServer.js'
import { Attempt, readFullBody } from '../attempt.js'
import { MemoryShare } from '../../memory/memoryShare.js'
import { ServerConnections } from '../serverConnections.js'

const HOLDER = { workspace: 'w', priority: 0 }

const BODY = 'whole'
const HEADS = {
  'with a length': `HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nContent-Length: ${BODY.length}\r\n\r\n`,
  'without a length': 'HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n\r\n',
  'in chunks':
    'HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n',
} as const

/** Body that the server never reads to its end, in bytes. */
const LARGE_BODY_BYTES = 8_388_608

let server: Server
let port: number
/** Sends the answer to a request; the first one on a kept connection is whole. */
let respond: (socket: Socket, requestNumber: number) => void = () => undefined

before(async () => {
  server = createServer((socket) => {
    let requestNumber = 0
    socket.on('error', () => undefined)
    socket.on('data', () => {
      requestNumber += 1
      respond(socket, requestNumber)
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  port = (server.address() as AddressInfo).port
})

after(() => {
  server.close()
})

function target(): BackendServer {
  return {
    id: 's1',
    startedAtMs: 1,
    service: 'plain',
    host: '127.0.0.1',
    port,
    zone: 'z1',
    version: 'v1',
    slots: 6,
    isDraining: false,
  }
}

function createConnections(relay: string | undefined): ServerConnections {
  return ServerConnections.create({
    dial: async () => {
      const connection = connect({ host: '127.0.0.1', port })
      await once(connection, 'connect')
      return { type: 'connected', connection, relay }
    },
    mayReuse: () => true,
  })
}

/** Sends a request; resolves to whether its response counts as complete. */
async function isComplete(
  connections: ServerConnections,
  body = Buffer.alloc(0),
): Promise<boolean> {
  const attempt = Attempt.start({
    host: '127.0.0.1',
    port,
    agent: connections.agentFor(target(), true),
    method: 'POST',
    path: '/',
    headers: ['Host', 'app.example', 'Content-Length', String(body.length)],
    body: [body],
    requestId: 'r1',
    readResponseMetadata: () => ({
      requestId: undefined,
      isSigned: true,
      wasNotExecuted: false,
      confidence: undefined,
      isEncoded: false,
      rateLimit: undefined,
      said: { statements: [], invalid: [] },
    }),
  })
  const head = await attempt.head
  if (head.type === 'failed') return false
  const budget = MemoryShare.create(1_000, () => 0).open(HOLDER)
  const result = await readFullBody(attempt, head, { maxBytes: 1_000, budget })
  return result.type === 'complete'
}

const ENDS: Readonly<Record<string, (socket: Socket, bytes: string) => void>> = {
  closed: (socket, bytes) => socket.end(bytes),
  reset: (socket, bytes) => socket.write(bytes, () => socket.resetAndDestroy()),
}

// Guards against: a response whose head breaks off is passed on as a whole one.
describe('a response whose head breaks off', () => {
  for (const [form, head] of Object.entries(HEADS)) {
    for (const [end, finish] of Object.entries(ENDS)) {
      const positions = Array.from({ length: head.length - 1 }, (_, i) => i + 1)

      it(`${form} is not complete at any position if its connection is ${end}`, async () => {
        for (const relay of [undefined, 'n2']) {
          for (const position of positions) {
            respond = (socket) => {
              finish(socket, head.slice(0, position))
            }
            const connections = createConnections(relay)
            assert.equal(await isComplete(connections), false, `after ${position} bytes`)
            connections.close()
          }
        }
      })

      it(`${form} is not complete on a connection that was used before and is ${end}`, async () => {
        for (const relay of [undefined, 'n2']) {
          for (const position of positions) {
            respond = (socket, requestNumber) => {
              if (requestNumber > 1) finish(socket, head.slice(0, position))
              else socket.write(HEADS['with a length'] + BODY)
            }
            const connections = createConnections(relay)
            assert.equal(await isComplete(connections), true)
            // The connection is free again in the next turn of the event loop.
            await new Promise((resolve) => setImmediate(resolve))
            assert.equal(await isComplete(connections), false, `after ${position} bytes`)
            connections.close()
          }
        }
      })

      it(`${form} is not complete while the request's body is due and it is ${end}`, async () => {
        const body = Buffer.alloc(LARGE_BODY_BYTES)
        for (const position of positions.filter((i) => i % 16 === 0)) {
          respond = (socket) => {
            socket.pause()
            finish(socket, head.slice(0, position))
          }
          const connections = createConnections(undefined)
          assert.equal(await isComplete(connections, body), false)
          connections.close()
        }
      })
    }
  }
})
