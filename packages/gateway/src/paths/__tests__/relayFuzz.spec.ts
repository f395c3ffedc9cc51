/**
 * Random closes, resets, early answers and cancelled requests on both sides of a relay: no
 * error may be left without a listener, and no connection stays open. `RELAY_FUZZ_RUNS` and
 * `RELAY_FUZZ_SEED` choose another run than that of CI.
 */
import assert from 'node:assert/strict'
import {
  connect,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net'
import { after, before, describe, it } from 'node:test'
import { seededRandom } from '@wagtailway/core'
import { Attempt, readFullBody } from '../../forward/attempt.js'
import { ServerConnections } from '../../forward/serverConnections.js'
import { MemoryShare } from '../../memory/memoryShare.js'
import type { BackendServer } from '../../model/backendServer.js'
import { listenAt } from '../../sockets/sockets.js'
import { connectDirectly } from '../directConnection.js'
import { connectThrough } from '../relayClient.js'
import { RelayServer } from '../relayServer.js'

const RUNS = Number(process.env['RELAY_FUZZ_RUNS'] ?? 1_500)
const SEED = Number(process.env['RELAY_FUZZ_SEED'] ?? 1)

const HOST = '127.0.0.1'
const CONCURRENCY = 20
const LARGE_BYTES = 4_000_000

/** Time between two steps of one side, in milliseconds at most. */
const MAX_STEP_MS = 6

/** Time after which a request is cancelled, in milliseconds. */
const CANCEL_MS = 150

/** Time within which all connections must have ended, in milliseconds. */
const END_TIMEOUT_MS = 5_000

const ANSWERS = [
  'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok',
  'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok',
  'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n',
  'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok',
  'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n',
  'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok\0garbage',
  'HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n',
  'HTTP/1.1 100 Continue\r\n\r\n',
  'garbage\r\n\r\n',
  '',
]

const random = seededRandom(SEED)

/** Errors that would have ended a process. */
const uncaught: unknown[] = []
const accepted = new Set<Socket>()
let backend: Server
let relay: RelayServer
let openCount = 0

process.on('uncaughtExceptionMonitor', (err) => uncaught.push(err))

function pick<T>(values: readonly [T, ...T[]]): T {
  return values[Math.floor(random() * values.length)] ?? values[0]
}

/** Calls `action` at once, in a later turn of the event loop, or some time later. */
function soon(action: () => void): void {
  const ms = Math.floor(random() * (MAX_STEP_MS + 2)) - 2
  if (ms === -2) action()
  else if (ms === -1) setImmediate(action)
  else setTimeout(action, ms)
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

/** Connections of both sides that are open in this process. */
function openSocketCount(): number {
  return process.getActiveResourcesInfo().filter((name) => name === 'TCPSocketWrap')
    .length
}

/** Closes a connection, maybe by a reset; Node has none for one that is being shut down. */
function close(socket: Socket): void {
  const canReset = !socket.writableEnded && !socket.connecting
  if (canReset && random() < 0.5) socket.resetAndDestroy()
  else socket.destroy()
}

/** Does one to four random things to a connection, then closes it in some way. */
function disturb(socket: Socket, texts: readonly [string, ...string[]]): void {
  const steps: (() => void)[] = [
    () => socket.write(pick(texts)),
    () => socket.pause(),
    () => socket.resume(),
    () => socket.end(pick(texts)),
    () => {
      close(socket)
    },
    () => socket.destroy(),
  ]
  const [first, ...others] = steps
  assert.ok(first)
  let left = 1 + Math.floor(random() * 4)
  const next = (): void => {
    if (socket.destroyed) return
    left -= 1
    if (left < 0) {
      close(socket)
      return
    }
    if (socket.writable) pick([first, ...others])()
    soon(next)
  }
  soon(next)
}

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

/** A requester that follows no protocol. */
async function sendRaw(): Promise<void> {
  const socket = connect(relay.port, HOST)
  socket.on('error', () => undefined)
  const head = `CONNECT ${HOST} HTTP/1.1\r\nx-relay-server: s1 1\r\nx-relay-end-mark: m\r\n\r\n`
  const plain = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
  socket.write(pick([head, `${head}x`, head + plain, plain + head, 'CONNECT']))
  disturb(socket, [plain, 'x'.repeat(200_000), 'CONNECT'])
  await new Promise((resolve) => socket.once('close', resolve))
}

async function sendRequest(connections: ServerConnections): Promise<void> {
  const { host, port } = target()
  const body = pick([Buffer.alloc(0), Buffer.alloc(100), Buffer.alloc(LARGE_BYTES)])
  const attempt = Attempt.start({
    host,
    port,
    agent: connections.agentFor(target(), random() < 0.8),
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
  const cancelTimer = setTimeout(
    () => {
      attempt.cancel()
    },
    random() < 0.3 ? random() * MAX_STEP_MS : CANCEL_MS,
  )
  const head = await attempt.head
  if (head.type === 'answered') {
    const holder = { workspace: 'w', priority: 0 }
    const budget = MemoryShare.create(1_000_000, () => 0).open(holder)
    await readFullBody(attempt, head, { maxBytes: 1_000, budget })
  }
  if (random() < 0.1) connections.closeIdle(() => random() < 0.5)
  clearTimeout(cancelTimer)
  if (random() < 0.5) attempt.cancel()
}

before(async () => {
  backend = createServer({ allowHalfOpen: random() < 0.5 }, (socket) => {
    accepted.add(socket)
    socket.on('error', () => undefined)
    socket.on('close', () => accepted.delete(socket))
    const answers = ANSWERS as [string, ...string[]]
    if (random() < 0.1) disturb(socket, answers)
    let answeredCount = 0
    socket.on('data', () => {
      answeredCount += 1
      if (answeredCount > 3) return
      if (random() < 0.5) socket.write(pick(answers))
      else if (answeredCount === 1) disturb(socket, answers)
    })
  })
  await new Promise<void>((resolve) => backend.listen(0, HOST, resolve))
  relay = await RelayServer.create({
    listen: listenAt({ host: HOST, port: 0 }),
    admit: () => (random() < 0.1 ? 'busy' : target()),
    connect: (server) =>
      connectDirectly(random() < 0.1 ? { ...server, port: 1 } : server),
    otherServer: () => (random() < 0.5 ? target() : undefined),
    onRequest: () => undefined,
    onError: (err) => uncaught.push(err),
    onOpenCount: (count) => (openCount = count),
  })
})

after(async () => {
  relay.close()
  for (const socket of accepted) socket.destroy()
  await new Promise((resolve) => backend.close(resolve))
})

describe('a relay between random parties', () => {
  it('leaves no error without a listener and no connection open', async () => {
    const connections = ServerConnections.create({
      dial: async (server) => {
        const address = { name: 'n2', host: HOST, port: relay.port }
        const result = await connectThrough(address, server).result
        if (result.type === 'connected') return { ...result, relay: 'n2' }
        return { type: 'failed', isRefused: false, isConfirmed: false, detail: 'none' }
      },
      mayReuse: () => random() < 0.9,
    })
    let started = 0
    const run = async (): Promise<void> => {
      while (started < RUNS) {
        started += 1
        await (random() < 0.4 ? sendRaw() : sendRequest(connections))
      }
    }
    await Promise.all(Array.from({ length: CONCURRENCY }, run))
    connections.close()
    const endsAtMs = performance.now() + END_TIMEOUT_MS
    while (openSocketCount() > 0 && performance.now() < endsAtMs) await sleep(MAX_STEP_MS)
    assert.deepEqual(uncaught, [])
    assert.equal(openCount, 0)
    assert.equal(openSocketCount(), 0)
  })
})
