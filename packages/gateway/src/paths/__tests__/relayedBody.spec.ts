import assert from 'node:assert/strict'
import {
  connect,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net'
import { PassThrough } from 'node:stream'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { Attempt, readFullBody, type AttemptResponse } from '../../forward/attempt.js'
import { relayUnbuffered } from '../../forward/relayUnbuffered.js'
import type { RequestContext } from '../../forward/requestContext.js'
import type { TrackedAttempt } from '../../forward/startAttempt.js'
import { MemoryShare } from '../../memory/memoryShare.js'
import { ServerConnections } from '../../forward/serverConnections.js'
import type { BackendServer } from '../../model/backendServer.js'
import type { ResponseMetadata } from '../../model/requestMetadata.js'
import { connectDirectly } from '../directConnection.js'
import { connectThrough } from '../relayClient.js'
import { listenAt } from '../../sockets/sockets.js'
import { RelayServer } from '../relayServer.js'

const HOLDER = { workspace: 'w', priority: 0 }

const HOST = '127.0.0.1'
const HEAD = 'HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n\r\n'
const BODY = 'whole body'

/** Time between two parts of an answer, in milliseconds. */
const PART_MS = 20

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
let respond: (socket: Socket) => void = () => undefined
let relay: RelayServer
let relayPort = 0
let connections: ServerConnections

function portOf(server: Server): number {
  return (server.address() as AddressInfo).port
}

function target(): BackendServer {
  return {
    id: 's1',
    startedAtMs: 1,
    service: 'plain',
    host: HOST,
    port: portOf(backend),
    zone: 'z1',
    version: 'v1',
    slots: 6,
    isDraining: false,
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

/** Sends a request through the relay. */
function start(): Attempt {
  return Attempt.start({
    host: HOST,
    port: portOf(backend),
    agent: connections.agentFor(target(), false),
    method: 'GET',
    path: '/',
    headers: ['Host', 'app.example'],
    body: [],
    requestId: 'r1',
    readResponseMetadata: () => METADATA,
  })
}

/** Sends a request through the relay; resolves to its body, or to how that failed. */
async function call(): Promise<string> {
  const attempt = start()
  const head = await attempt.head
  assert.equal(head.type, 'answered')
  const budget = MemoryShare.create(20_000_000, () => 0).open(HOLDER)
  const limits = { maxBytes: 16_777_216, budget }
  const result = await readFullBody(attempt, head as AttemptResponse, limits)
  return result.type === 'complete'
    ? Buffer.concat(result.body).toString('latin1')
    : result.type
}

/**
 * Sends a request through the relay and relays its answer unbuffered; resolves to what the
 * caller gets of it, and to how it ended.
 */
async function callUnbuffered(): Promise<{ received: string; result: string }> {
  const attempt = start()
  const head = (await attempt.head) as AttemptResponse
  head.res.pause()
  const res = new PassThrough()
  let received = ''
  res.on('data', (chunk: Buffer) => (received += chunk.toString('latin1')))
  const ctx = {
    timeToDeadlineMs: 5_000,
    opts: {
      caller: { res, writeHead: () => undefined, onDisconnect: () => undefined },
      node: {
        opts: {
          clock: () => performance.now(),
          dialect: { callerResponseHeaders: () => [] },
        },
      },
    },
  } as unknown as RequestContext
  const result = await relayUnbuffered(ctx, { attempt } as unknown as TrackedAttempt, {
    head,
    blocks: [],
    hold: MemoryShare.create(20_000_000, () => 0).open(HOLDER),
    maxBytes: 16_777_216,
  })
  await sleep(PART_MS)
  return { received, result }
}

beforeEach(async () => {
  backend = createServer((socket) => {
    socket.on('error', () => undefined)
    socket.once('data', () => {
      respond(socket)
    })
  })
  await new Promise<void>((resolve) => backend.listen(0, HOST, resolve))
  relay = await RelayServer.create({
    listen: listenAt({ host: HOST, port: 0 }),
    admit: () => target(),
    connect: connectDirectly,
    otherServer: () => undefined,
    onRequest: () => undefined,
    onError: () => undefined,
    onOpenCount: () => undefined,
  })
  relayPort = relay.port
  connections = ServerConnections.create({
    dial: async (server) => {
      const result = await connectThrough(
        { name: 'n2', host: HOST, port: relayPort },
        server,
      ).result
      assert.equal(result.type, 'connected')
      return {
        type: 'connected',
        connection: (result as { connection: Socket }).connection,
        relay: 'n2',
      }
    },
    mayReuse: () => false,
  })
})

afterEach(async () => {
  connections.close()
  relay.close()
  await new Promise((resolve) => backend.close(resolve))
})

// Guards against: an instance without a path to the servers drops whole answers that end with
// their connection, or takes cut ones for whole.
describe('an answer without a length on a relayed connection', () => {
  it('is whole if its server closes the connection', async () => {
    respond = (socket) => socket.end(HEAD + BODY)
    assert.equal(await call(), BODY)
  })

  it('is whole in parts, and if it is empty or large', async () => {
    respond = (socket) => {
      socket.write(HEAD + BODY.slice(0, 4))
      setTimeout(() => socket.end(BODY.slice(4)), PART_MS)
    }
    assert.equal(await call(), BODY)
    respond = (socket) => socket.end(HEAD)
    assert.equal(await call(), '')
    const large = BODY.repeat(500_000)
    respond = (socket) => socket.end(HEAD + large)
    assert.ok((await call()) === large)
  })

  it('is whole without its mark if there is no memory for it', async () => {
    respond = (socket) => socket.end(HEAD + BODY)
    assert.deepEqual(await callUnbuffered(), { received: BODY, result: 'complete' })
    const large = BODY.repeat(50_000)
    respond = (socket) => socket.end(HEAD + large)
    const { received, result } = await callUnbuffered()
    assert.equal(result, 'complete')
    assert.ok(received === large)
    respond = (socket) => {
      socket.write(HEAD + BODY)
      setTimeout(() => socket.resetAndDestroy(), PART_MS)
    }
    assert.equal((await callUnbuffered()).result, 'broken')
  })

  it('is whole without a body', async () => {
    respond = (socket) => socket.end('HTTP/1.1 204 No Content\r\n\r\n')
    assert.equal(await call(), '')
  })

  it('is broken if its server resets the connection, also with its last bytes', async () => {
    respond = (socket) => {
      socket.write(HEAD + BODY)
      setTimeout(() => socket.resetAndDestroy(), PART_MS)
    }
    assert.equal(await call(), 'broken')
    respond = (socket) => socket.write(HEAD + BODY, () => socket.resetAndDestroy())
    const called = call()
    // Blocks the event loop until both the bytes and the reset have arrived.
    await sleep(1)
    const untilMs = performance.now() + PART_MS
    setImmediate(() => {
      while (performance.now() < untilMs);
    })
    assert.equal(await called, 'broken')
  })

  it('is broken if the relay ends in the middle of it', async () => {
    respond = (socket) => {
      socket.write(HEAD + BODY)
      setTimeout(() => {
        relay.close()
      }, PART_MS)
    }
    assert.equal(await call(), 'broken')
  })

  it('is broken behind a relay that sends no mark, such as an earlier build', async () => {
    const earlier = createServer((socket) => {
      socket.on('error', () => undefined)
      socket.once('data', () => {
        socket.write('HTTP/1.1 200 OK\r\n\r\n')
        socket.once('data', () => socket.end(HEAD + BODY))
      })
    })
    relay.close()
    await new Promise<void>((resolve) => earlier.listen(relayPort, HOST, resolve))
    assert.equal(await call(), 'broken')
    await new Promise((resolve) => earlier.close(resolve))
  })
})

describe('a relay', () => {
  it('sends no mark to an instance that asks for none, such as an earlier build', async () => {
    respond = (socket) => socket.end(HEAD + BODY)
    const socket = connect(relayPort, HOST)
    let received = ''
    socket.on('data', (chunk) => (received += chunk.toString('latin1')))
    socket.write(
      `CONNECT ${HOST}:${portOf(backend)} HTTP/1.1\r\nx-relay-server: s1 1\r\n\r\n`,
    )
    await sleep(PART_MS)
    socket.write('GET / HTTP/1.1\r\n\r\n')
    await new Promise((resolve) => socket.once('close', resolve))
    assert.equal(received, `HTTP/1.1 200 OK\r\n\r\n${HEAD}${BODY}`)
  })

  // Guards against: an earlier build, which knows no marks, takes a part for the whole.
  it('resets the connection of one that uploads when its server answers early and resets', async () => {
    for (const delayMs of [0, PART_MS, 10 * PART_MS]) {
      respond = (socket) => {
        // The rest of the upload stays unread.
        socket.pause()
        socket.write(HEAD + BODY)
        setTimeout(() => socket.resetAndDestroy(), delayMs)
      }
      const socket = connect(relayPort, HOST)
      let hasEnded = false
      const errors: (string | undefined)[] = []
      socket.on('data', () => undefined).on('end', () => (hasEnded = true))
      socket.on('error', ({ code }: NodeJS.ErrnoException) => errors.push(code))
      socket.write(
        `CONNECT ${HOST}:${portOf(backend)} HTTP/1.1\r\nx-relay-server: s1 1\r\n\r\n`,
      )
      await sleep(PART_MS)
      socket.write('POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n')
      const chunk = `10000\r\n${'x'.repeat(65_536)}\r\n`
      for (let i = 0; i < 64; i += 1) socket.write(chunk)
      await new Promise((resolve) => socket.once('close', resolve))
      const about = `reset after ${delayMs} ms: ${errors.join()}`
      assert.ok(!hasEnded && errors.length === 1, about)
    }
  })
})
