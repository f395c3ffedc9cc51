import assert from 'node:assert/strict'
import { once } from 'node:events'
import { Agent } from 'node:http'
import {
  connect,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net'
import { afterEach, describe, it } from 'node:test'
import fc from 'fast-check'
import {
  Attempt,
  readFullBody,
  type AttemptFailure,
  type AttemptResponse,
  type BodyResult,
} from '../attempt.js'
import { MemoryShare } from '../../memory/memoryShare.js'
import type { BackendServer } from '../../model/backendServer.js'
import type { ResponseMetadata } from '../../model/requestMetadata.js'
import { ServerConnections } from '../serverConnections.js'

const HOLDER = { workspace: 'w', priority: 0 }

const servers: Server[] = []

afterEach(() => {
  for (const server of servers.splice(0)) server.close()
})

/** Starts a backend server that calls `respond` once a connection has received data. */
async function startBackend(respond: (socket: Socket) => void): Promise<number> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined)
    socket.once('data', () => {
      respond(socket)
    })
  })
  servers.push(server)
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return (server.address() as AddressInfo).port
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

const SERVER: BackendServer = {
  id: 's1',
  startedAtMs: 1,
  service: 'plain',
  host: '127.0.0.1',
  port: 80,
  zone: 'z1',
  version: 'v1',
  slots: 6,
  isDraining: false,
}

function startAttempt(
  port: number,
  metadata: ResponseMetadata = METADATA,
  agent?: Agent,
  onResponseHead: () => void = () => undefined,
): Attempt {
  return Attempt.start({
    host: '127.0.0.1',
    port,
    agent,
    method: 'GET',
    path: '/',
    headers: ['Host', 'app.example'],
    body: [],
    requestId: 'r1',
    readResponseMetadata: () => metadata,
    onResponseHead,
  })
}

async function readBody(attempt: Attempt): Promise<BodyResult> {
  const head = await attempt.head
  assert.equal(head.type, 'answered')
  const budget = MemoryShare.create(1_000, () => 0).open(HOLDER)
  return readFullBody(attempt, head as AttemptResponse, { maxBytes: 1_000, budget })
}

describe('Attempt', () => {
  it('accepts a body without a length that ends with its connection as complete', async () => {
    const port = await startBackend((socket) => {
      socket.end('HTTP/1.1 200 OK\r\n\r\nwhole')
    })
    const body = await readBody(startAttempt(port))
    assert.deepEqual(body, { type: 'complete', body: [Buffer.from('whole')] })
  })

  it('treats a body without a length as broken if the connection is reset', async () => {
    const port = await startBackend((socket) => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nhalf')
      setTimeout(() => socket.resetAndDestroy(), 30)
    })
    assert.equal((await readBody(startAttempt(port))).type, 'broken')
  })

  it('treats a body without a length as broken if the reset arrives with its last bytes', async () => {
    const port = await startBackend((socket) => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nhalf', () => socket.resetAndDestroy())
    })
    const attempt = startAttempt(port)
    // Blocks the event loop until both the bytes and the reset have arrived.
    const untilMs = performance.now() + 60
    setImmediate(() => {
      while (performance.now() < untilMs);
    })
    assert.equal((await readBody(attempt)).type, 'broken')
  })

  it('treats a body without a length as broken on a relayed connection, whose end may be that of the relay', async () => {
    const port = await startBackend((socket) => {
      socket.end('HTTP/1.1 200 OK\r\n\r\nwhole')
    })
    const connections = ServerConnections.create({
      dial: async () => {
        const connection = connect({ host: '127.0.0.1', port })
        await once(connection, 'connect')
        return { type: 'connected', connection, relay: 'n2' }
      },
      mayReuse: () => true,
    })
    const attempt = startAttempt(port, METADATA, connections.agentFor(SERVER, false))
    assert.equal((await readBody(attempt)).type, 'broken')
    assert.equal(attempt.relay, 'n2')
  })

  it('treats a body shorter than its Content-Length as broken', async () => {
    const port = await startBackend((socket) => {
      socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf')
    })
    assert.equal((await readBody(startAttempt(port))).type, 'broken')
  })

  it('fails if the response carries the id of another request', async () => {
    const port = await startBackend((socket) => {
      socket.end('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
    })
    const head = await startAttempt(port, { ...METADATA, requestId: 'r0' }).head
    assert.equal(head.type === 'failed' && head.reason, 'wrong_answer')
    assert.equal(head.type === 'failed' && head.runState, 'may_have_run')
  })

  it('fails alone if what reads the head of its response throws', async () => {
    const port = await startBackend((socket) => {
      socket.end('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
    })
    const attempt = startAttempt(port, METADATA, undefined, () => {
      throw new Error('unreadable')
    })
    const head = await attempt.head
    assert.equal(head.type === 'failed' && head.reason, 'wrong_answer')
    assert.match(head.type === 'failed' ? head.detail : '', /unreadable/)
  })

  it('reports that a request has not run if no connection was established', async () => {
    const port = await startBackend(() => undefined)
    for (const server of servers.splice(0)) server.close()
    const head = await startAttempt(port).head
    assert.equal(head.type === 'failed' && head.runState, 'not_run')
  })

  it('reports that a request may have run if its connection is reset before the response', async () => {
    const port = await startBackend((socket) => socket.resetAndDestroy())
    const head = await startAttempt(port).head
    assert.equal(head.type === 'failed' && head.runState, 'may_have_run')
  })
})

describe('an earlier refusal that is written once more on a kept connection', () => {
  const EARLIER = 'r0'
  const body = 'refused'
  const head = `HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: ${EARLIER}\r\nX-Not-Executed: 1\r\nContent-Length: ${body.length}\r\n\r\n`
  const refusals = [head.replace(String(body.length), '0'), head + body]

  /** Sends two requests on one connection; resolves with the outcome of the second one. */
  async function sendSecond(
    serve: (socket: Socket, requestNumber: number) => void,
  ): Promise<AttemptResponse | AttemptFailure> {
    const server = createServer((socket) => {
      let requestNumber = 0
      socket.on('error', () => undefined)
      socket.on('data', () => {
        requestNumber += 1
        serve(socket, requestNumber)
      })
    })
    servers.push(server)
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const { port } = server.address() as AddressInfo
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    const start = (requestId: string): Attempt =>
      Attempt.start({
        host: '127.0.0.1',
        port,
        agent,
        method: 'GET',
        path: '/',
        headers: ['Host', 'app.example', 'X-Request-Id', requestId],
        body: [],
        requestId,
        readResponseMetadata: (headers) => ({
          ...METADATA,
          requestId: headers['x-request-id'] as string | undefined,
          wasNotExecuted: headers['x-not-executed'] !== undefined,
        }),
      })
    const first = start(EARLIER)
    const firstHead = await first.head
    assert.ok(firstHead.type === 'answered')
    firstHead.res.resume()
    await new Promise((resolve) => firstHead.res.once('close', resolve))
    await new Promise((resolve) => setTimeout(resolve, 5))
    const outcome = await start('r1').head
    agent.destroy()
    return outcome
  }

  /** Writes a text in pieces that are split at the given places. */
  async function writeSplit(
    socket: Socket,
    text: string,
    splits: number[],
  ): Promise<void> {
    let from = 0
    for (const to of [...splits, text.length]) {
      if (to <= from || socket.destroyed) continue
      socket.write(text.slice(from, to))
      from = to
      await new Promise((resolve) => setTimeout(resolve, 1))
    }
  }

  for (const [i, refusal] of refusals.entries()) {
    const title = i === 0 ? 'without a body' : 'with a body'

    it(`is never taken for the answer to the next request, ${title}, in any pieces`, async () => {
      await fc.assert(
        fc.asyncProperty(
          fc.array(fc.integer({ min: 1, max: refusal.length - 1 }), { maxLength: 3 }),
          fc.constantFrom('before', 'while', 'after'),
          async (splits, moment) => {
            const pieces = splits.toSorted((a, b) => a - b)
            const outcome = await sendSecond((socket, requestNumber) => {
              if (requestNumber === 1) {
                socket.write(refusal)
                if (moment === 'before') void writeSplit(socket, refusal, pieces)
                return
              }
              if (moment === 'while') void writeSplit(socket, refusal, pieces)
              else if (moment === 'after')
                setTimeout(() => void writeSplit(socket, refusal, pieces), 10)
              else setTimeout(() => socket.destroy(), 50)
            })
            if (outcome.type === 'answered') {
              assert.notEqual(outcome.metadata.requestId, EARLIER)
              return
            }
            assert.equal(outcome.runState, 'may_have_run')
          },
        ),
        { seed: 37, numRuns: 30 },
      )
    })
  }
})
