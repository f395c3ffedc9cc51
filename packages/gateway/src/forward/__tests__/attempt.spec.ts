import assert from 'node:assert/strict'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { Attempt, readWhole, type AttemptAnswer, type BodyOutcome } from '../attempt.js'
import type { ResponseMetadata } from '../../model/requestMetadata.js'

const servers: Server[] = []

afterEach(() => {
  for (const server of servers.splice(0)) server.close()
})

/** Starts a backend server that answers each request by `act`. */
async function backend(act: (socket: Socket) => void): Promise<number> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined)
    socket.once('data', () => {
      act(socket)
    })
  })
  servers.push(server)
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return (server.address() as AddressInfo).port
}

const FACTS: ResponseMetadata = {
  requestId: undefined,
  isSigned: true,
  wasNotExecuted: false,
  confidence: undefined,
  isEncoded: false,
}

function send(port: number, facts: ResponseMetadata = FACTS): Attempt {
  return Attempt.start({
    host: '127.0.0.1',
    port,
    agent: undefined,
    method: 'GET',
    path: '/',
    headers: ['Host', 'app.example'],
    body: Buffer.alloc(0),
    requestId: 'r1',
    readAnswer: () => facts,
  })
}

async function bodyOf(attempt: Attempt): Promise<BodyOutcome> {
  const head = await attempt.head
  assert.equal(head.type, 'answered')
  return readWhole(attempt, head as AttemptAnswer, 1_000)
}

describe('Attempt', () => {
  it('takes an unframed body that ends with its connection as whole', async () => {
    const port = await backend((socket) => {
      socket.end('HTTP/1.1 200 OK\r\n\r\nwhole')
    })
    const body = await bodyOf(send(port))
    assert.deepEqual(body, { type: 'whole', body: Buffer.from('whole') })
  })

  it('takes an unframed body that is reset as broken', async () => {
    const port = await backend((socket) => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nhalf')
      setTimeout(() => socket.resetAndDestroy(), 30)
    })
    assert.equal((await bodyOf(send(port))).type, 'broken')
  })

  it('takes an unframed body as broken if its reset comes with its last bytes', async () => {
    const port = await backend((socket) => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nhalf', () => socket.resetAndDestroy())
    })
    const attempt = send(port)
    // Keeps the event loop busy until both have arrived.
    const untilMs = performance.now() + 60
    setImmediate(() => {
      while (performance.now() < untilMs);
    })
    assert.equal((await bodyOf(attempt)).type, 'broken')
  })

  it('takes a body shorter than its length as broken', async () => {
    const port = await backend((socket) => {
      socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf')
    })
    assert.equal((await bodyOf(send(port))).type, 'broken')
  })

  it('takes an answer with the id of another request as no answer', async () => {
    const port = await backend((socket) => {
      socket.end('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
    })
    const head = await send(port, { ...FACTS, requestId: 'r0' }).head
    assert.equal(head.type === 'failed' && head.reason, 'wrong_answer')
    assert.equal(head.type === 'failed' && head.ran, 'may_have_run')
  })

  it('says that a request has not run if no connection was made', async () => {
    const port = await backend(() => undefined)
    for (const server of servers.splice(0)) server.close()
    const head = await send(port).head
    assert.equal(head.type === 'failed' && head.ran, 'not_run')
  })

  it('says that a request may have run if its connection is reset before an answer', async () => {
    const port = await backend((socket) => socket.resetAndDestroy())
    const head = await send(port).head
    assert.equal(head.type === 'failed' && head.ran, 'may_have_run')
  })
})
