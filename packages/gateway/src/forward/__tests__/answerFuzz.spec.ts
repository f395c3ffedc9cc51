/**
 * Random answers of servers, sound ones and ones with a fault, on direct connections: sound ones
 * arrive byte for byte, and nothing else counts as whole. `ANSWER_FUZZ_RUNS` and
 * `ANSWER_FUZZ_SEED` choose another run than that of CI.
 */
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
import fc from 'fast-check'
import { MemoryShare } from '../../memory/memoryShare.js'
import type { BackendServer } from '../../model/backendServer.js'
import { Attempt, readFullBody } from '../attempt.js'
import { ServerConnections } from '../serverConnections.js'

const RUNS = Number(process.env['ANSWER_FUZZ_RUNS'] ?? 400)
const SEED = Number(process.env['ANSWER_FUZZ_SEED'] ?? 1)

const MAX_BODY_BYTES = 2_000

/** Time after which an exchange counts as one that never ends, in milliseconds. */
const EXCHANGE_TIMEOUT_MS = 5_000

type Ending = 'keep' | 'close' | 'reset'

interface Answer {
  readonly head: string
  /** Bytes after the head, framed. */
  readonly framed: Buffer
  readonly body: Buffer
  readonly isFramed: boolean
}

/** What the server sends, and what must become of it. */
interface Case {
  readonly bytes: Buffer
  readonly ending: Ending
  /** Where the bytes are divided into writes, as shares of their length. */
  readonly cuts: readonly number[]
  /** Body if the response must be whole, `undefined` if it must not be. */
  readonly expected: Buffer | undefined
}

const TOKEN_CHARS = [..."abcXYZ019!#$%&'*+-.^_`|~"]
const token = fc
  .array(fc.constantFrom(...TOKEN_CHARS), { minLength: 1, maxLength: 12 })
  .map((chars) => chars.join(''))
const VALUE_CHARS = [...'abc XYZ\t,;="()\xd6\xff:/']
const value = fc
  .array(fc.constantFrom(...VALUE_CHARS), { maxLength: 30 })
  .map((chars) => chars.join('').trim())
// The prefix keeps names with a meaning of their own out.
const headerLines = fc
  .array(
    fc.tuple(token, value).map(([name, text]) => `X-F-${name}: ${text}\r\n`),
    { maxLength: 6 },
  )
  .map((lines) => lines.join(''))
const informational = fc
  .array(
    fc
      .tuple(fc.constantFrom('100 Continue', '102 Processing', '103 Hints'), headerLines)
      .map(([status, lines]) => `HTTP/1.1 ${status}\r\n${lines}\r\n`),
    { maxLength: 3 },
  )
  .map((responses) => responses.join(''))
const body = fc
  .uint8Array({ maxLength: MAX_BODY_BYTES })
  .map((bytes) => Buffer.from(bytes))

function chunk(bytes: Buffer, extension: string, isUpper: boolean): Buffer {
  const size = bytes.length.toString(16)
  const head = `${isUpper ? size.toUpperCase() : size}${extension}\r\n`
  return Buffer.concat([Buffer.from(head), bytes, Buffer.from('\r\n')])
}

const chunked = fc
  .tuple(
    body,
    fc.array(fc.integer({ min: 1, max: 400 }), { minLength: 1, maxLength: 8 }),
    fc.constantFrom('', ';a', ';a=b', ';a="b c"'),
    fc.boolean(),
    headerLines,
  )
  .map(([bytes, sizes, extension, isUpper, trailers]) => {
    const chunks: Buffer[] = []
    for (let at = 0, i = 0; at < bytes.length; i += 1) {
      const size = sizes[i % sizes.length] ?? 1
      chunks.push(chunk(bytes.subarray(at, at + size), extension, isUpper))
      at += size
    }
    return {
      body: bytes,
      framing: 'Transfer-Encoding: chunked\r\n',
      framed: Buffer.concat([...chunks, Buffer.from(`0\r\n${trailers}\r\n`)]),
    }
  })
const withLength = body.map((bytes) => ({
  body: bytes,
  framing: `Content-Length: ${bytes.length}\r\n`,
  framed: bytes,
}))
const unframed = body.map((bytes) => ({ body: bytes, framing: '', framed: bytes }))

const answer: fc.Arbitrary<Answer> = fc
  .tuple(
    informational,
    fc.constantFrom('200 OK', '200 ', '201 Created', '404 Not Found', '503 Busy'),
    headerLines,
    fc.oneof(chunked, withLength, unframed),
    headerLines,
  )
  .map(([first, status, before, { body: bytes, framing, framed }, behind]) => ({
    head: `${first}HTTP/1.1 ${status}\r\n${before}${framing}${behind}\r\n`,
    framed,
    body: bytes,
    isFramed: framing !== '',
  }))

const cuts = fc.array(fc.double({ min: 0, max: 1, noNaN: true }), { maxLength: 5 })

const soundCase: fc.Arbitrary<Case> = fc
  .tuple(answer, cuts, fc.constantFrom<Ending>('keep', 'close'))
  .map(([{ head, framed, body: bytes, isFramed }, divisions, ending]) => ({
    bytes: Buffer.concat([Buffer.from(head, 'latin1'), framed]),
    ending: isFramed ? ending : 'close',
    cuts: divisions,
    expected: bytes,
  }))

/** The connection ends before the answer does. */
const brokenOff: fc.Arbitrary<Case> = fc
  .tuple(
    answer,
    cuts,
    fc.double({ min: 0, max: 1, noNaN: true }),
    fc.constantFrom<Ending>('close', 'reset'),
  )
  .map(([{ head, framed, isFramed }, divisions, share, ending]) => {
    const whole = Buffer.concat([Buffer.from(head, 'latin1'), framed])
    // The end of an answer without a length can only be told from a reset.
    const lastByte = isFramed || ending === 'reset' ? whole.length - 1 : head.length - 1
    return {
      bytes: whole.subarray(0, Math.floor(share * lastByte)),
      ending,
      cuts: divisions,
      expected: undefined,
    }
  })

/** A byte of the head or of the frame is one that HTTP does not allow there. */
const spoilt: fc.Arbitrary<Case> = fc
  .tuple(
    cuts,
    fc.constantFrom(
      'HTTP/1.1 200 OK\r\nX F: a\r\nContent-Length: 1\r\n\r\nx',
      'HTTP/1.1 200 OK\r\n: a\r\nContent-Length: 1\r\n\r\nx',
      'HTTP/1.1 200 OK\r\nX-F: a\0\r\nContent-Length: 1\r\n\r\nx',
      'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy',
      'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n',
      'HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nx',
      'HTTP/1.1 200 OK\r\nContent-Length: 1x\r\n\r\nx',
      'HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999999\r\n\r\nx',
      'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nx\r\n0\r\n\r\n',
      'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nxy\r\n0\r\n\r\n',
      'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nx\r\n0\r\n\r\n',
      'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX F: a\r\n',
      'HTTP/1.1 99 Odd\r\nContent-Length: 1\r\n\r\nx',
      'HTTP/1.1 20 OK\r\nContent-Length: 1\r\n\r\nx',
      'HTTP/1.1 101 Switching\r\nContent-Length: 1\r\n\r\nx',
      'HTTP/9.9 200 OK\r\nContent-Length: 1\r\n\r\nx',
      'HTTX/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx',
      'x',
      '\r\n\r\n\r\n',
      '\0',
    ),
    fc.constantFrom<Ending>('close', 'reset'),
  )
  .map(([divisions, text, ending]) => ({
    bytes: Buffer.from(text, 'latin1'),
    ending,
    cuts: divisions,
    expected: undefined,
  }))

let server: Server
let port: number
let current: Case | undefined
const uncaught: unknown[] = []
const countUncaught = (err: unknown): void => {
  uncaught.push(err)
}

async function write(socket: Socket, { bytes, ending, cuts: shares }: Case) {
  const ends = shares.map((share) => Math.floor(share * bytes.length))
  const positions = [...new Set([0, ...ends, bytes.length])].sort((a, b) => a - b)
  for (const [i, position] of positions.entries()) {
    const part = bytes.subarray(position, positions[i + 1] ?? bytes.length)
    if (part.length > 0 && !socket.destroyed) socket.write(part)
    await new Promise((resolve) => setImmediate(resolve))
  }
  if (ending === 'close') socket.end()
  if (ending === 'reset') socket.resetAndDestroy()
}

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

/** Body of the answer if it counts as whole. */
async function exchange(played: Case): Promise<Buffer | undefined> {
  current = played
  const connections = ServerConnections.create({
    dial: async () => {
      const connection = connect({ host: '127.0.0.1', port })
      await once(connection, 'connect')
      return { type: 'connected', connection }
    },
    mayReuse: () => true,
  })
  const attempt = Attempt.start({
    host: '127.0.0.1',
    port,
    agent: connections.agentFor(target(), true),
    method: 'GET',
    path: '/',
    headers: ['Host', 'app.example'],
    body: [],
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
  const timer = setTimeout(() => {
    attempt.cancel()
  }, EXCHANGE_TIMEOUT_MS)
  try {
    const head = await attempt.head
    if (head.type === 'failed') return undefined
    const holder = { workspace: 'w', priority: 0 }
    const budget = MemoryShare.create(1_048_576, () => 0).open(holder)
    const result = await readFullBody(attempt, head, { maxBytes: 65_536, budget })
    return result.type === 'complete' ? Buffer.concat(result.body) : undefined
  } finally {
    clearTimeout(timer)
    connections.close()
  }
}

async function check(arbitrary: fc.Arbitrary<Case>): Promise<void> {
  const property = fc.asyncProperty(arbitrary, async (played) => {
    const received = await exchange(played)
    assert.deepEqual(received, played.expected)
    assert.deepEqual(uncaught, [])
  })
  await fc.assert(property, { numRuns: RUNS, seed: SEED })
}

before(async () => {
  process.on('uncaughtExceptionMonitor', countUncaught)
  server = createServer((socket) => {
    socket.on('error', () => undefined)
    socket.once('data', () => {
      if (current) void write(socket, current)
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  port = (server.address() as AddressInfo).port
})

after(() => {
  process.off('uncaughtExceptionMonitor', countUncaught)
  server.close()
})

describe('a random answer of a server', () => {
  it('arrives byte for byte if it is sound', async () => {
    await check(soundCase)
  })

  it('is not whole if its connection ends before it does', async () => {
    await check(brokenOff)
  })

  it('is not whole if bytes of its head or frame are not HTTP', async () => {
    await check(spoilt)
  })
})
